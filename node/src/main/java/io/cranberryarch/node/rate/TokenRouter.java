package io.cranberryarch.node.rate;

import io.cranberryarch.decision.membership.Member;
import io.cranberryarch.decision.rate.RateShard;
import io.cranberryarch.decision.rate.TokenAnswer;
import io.cranberryarch.decision.rate.TokenRequest;
import io.cranberryarch.node.member.MemberService;
import io.cranberryarch.node.peer.PeerConnection;
import io.cranberryarch.node.peer.PeerNetwork;
import io.cranberryarch.wire.Frame;
import io.cranberryarch.wire.Message;
import io.cranberryarch.wire.TokenAnswerMessage;
import io.cranberryarch.wire.TokenRequestMessage;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;

/** Routes token requests to the allocators that they are addressed to, on this node or a peer. Thread-safe. */
public final class TokenRouter {

    private static final int MAX_HOPS = 3;

    private final MemberService members;
    private final PeerNetwork network;
    private final RateAllocators allocators;
    private final Map<RateShard, String> cachedHolders = new ConcurrentHashMap<>();

    /**
     * Creates a router.
     *
     * @param members the membership of the fleet
     * @param network the connections to peers
     * @param allocators the allocators of this node
     */
    public TokenRouter(MemberService members, PeerNetwork network, RateAllocators allocators) {
        this.members = members;
        this.network = network;
        this.allocators = allocators;
    }

    /**
     * Sends a token request to its allocator.
     *
     * @param request the request, not {@code null}
     * @return the allocator's response, or empty if no allocator was found
     */
    public CompletableFuture<Optional<TokenAnswer>> send(TokenRequest request) {
        Optional<TokenAnswer> local = allocators.handle(request);
        if (local.isPresent()) {
            return CompletableFuture.completedFuture(local);
        }
        AllocatorSearch search = new AllocatorSearch(request);
        search.tryNext(Optional.empty());
        return search.result;
    }

    /**
     * Responds to the token request of a peer.
     *
     * @param connection the connection
     * @param frame the frame with the request
     */
    public void onRequest(PeerConnection connection, Frame frame) {
        TokenRequest request = TokenMessages.toRequest((TokenRequestMessage) frame.message());
        RateShard shard = RateShard.of(request.zone(), request.account());
        TokenAnswerMessage response = allocators
                .handle(request)
                .map(TokenMessages::toMessage)
                .orElseGet(() -> TokenAnswerMessage.ofNonAllocator(allocators.findHolder(shard)));
        connection.send(frame.id(), response);
    }

    /** Search for the allocator of a request: first the known holder, then the candidates, and holders they report. */
    private final class AllocatorSearch {

        private final TokenRequest request;
        private final RateShard shard;
        private final Collection<Member> allMembers = members.getMembers();
        private final Set<String> triedInstances = new HashSet<>();
        private final CompletableFuture<Optional<TokenAnswer>> result = new CompletableFuture<>();

        AllocatorSearch(TokenRequest request) {
            this.request = request;
            this.shard = RateShard.of(request.zone(), request.account());
            triedInstances.add(members.getSelf().instance());
        }

        void tryNext(Optional<String> reportedHolder) {
            Optional<Member> member = choose(reportedHolder);
            if (member.isEmpty() || triedInstances.size() > MAX_HOPS) {
                cachedHolders.remove(shard);
                result.complete(Optional.empty());
                return;
            }
            String instance = member.get().instance();
            triedInstances.add(instance);
            network.connect(MemberService.toAddress(member.get()))
                    .thenCompose(connection ->
                            connection.request(TokenMessages.toMessage(request)).response())
                    .whenComplete((message, failure) -> onResponse(instance, message, failure));
        }

        private void onResponse(String instance, Message message, Throwable failure) {
            if (failure != null || !(message instanceof TokenAnswerMessage response)) {
                tryNext(Optional.empty());
                return;
            }
            if (!response.isAllocator()) {
                tryNext(response.allocator());
                return;
            }
            cachedHolders.put(shard, instance);
            result.complete(Optional.of(TokenMessages.toResponse(response)));
        }

        private Optional<Member> choose(Optional<String> reportedHolder) {
            if (reportedHolder.isPresent()) {
                Optional<Member> reported = find(reportedHolder.get());
                if (reported.isPresent()) {
                    return reported;
                }
            }
            Optional<Member> holder = Optional.ofNullable(cachedHolders.get(shard))
                    .or(() -> allocators.findHolder(shard))
                    .flatMap(this::find);
            if (holder.isPresent()) {
                return holder;
            }
            List<Member> candidates = shard.toCandidates(allMembers);
            return candidates.stream()
                    .filter(member -> !triedInstances.contains(member.instance()))
                    .findFirst();
        }

        private Optional<Member> find(String instance) {
            return allMembers.stream()
                    .filter(member -> member.instance().equals(instance) && !triedInstances.contains(instance))
                    .findFirst();
        }
    }
}
