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

/** Brings requests for tokens to the allocators that they ask, at this node or a peer. Thread-safe. */
public final class TokenRouter {

    private static final int MAX_HOPS = 3;

    private final MemberService members;
    private final PeerNetwork network;
    private final RateAllocators allocators;
    private final Map<RateShard, String> holders = new ConcurrentHashMap<>();

    /**
     * Creates a router.
     *
     * @param members the members known
     * @param network the connections to peers
     * @param allocators the allocators of this node
     */
    public TokenRouter(MemberService members, PeerNetwork network, RateAllocators allocators) {
        this.members = members;
        this.network = network;
        this.allocators = allocators;
    }

    /**
     * Sends a request.
     *
     * @param request the request, not {@code null}
     * @return the allocator's answer, or empty if none was found
     */
    public CompletableFuture<Optional<TokenAnswer>> send(TokenRequest request) {
        Optional<TokenAnswer> local = allocators.handle(request);
        if (local.isPresent()) {
            return CompletableFuture.completedFuture(local);
        }
        Search search = new Search(request);
        search.next(Optional.empty());
        return search.result;
    }

    /**
     * Answers the request of a peer.
     *
     * @param connection the connection
     * @param frame the frame with the request
     */
    public void onRequest(PeerConnection connection, Frame frame) {
        TokenRequest request = TokenMessages.toRequest((TokenRequestMessage) frame.message());
        RateShard shard = RateShard.of(request.zone(), request.account());
        TokenAnswerMessage answer = allocators
                .handle(request)
                .map(TokenMessages::toMessage)
                .orElseGet(() -> TokenAnswerMessage.ofNonAllocator(allocators.findHolder(shard)));
        connection.send(frame.id(), answer);
    }

    /** The search for the allocator of one request: the last known holder, then the candidates, then who they name. */
    private final class Search {

        private final TokenRequest request;
        private final RateShard shard;
        private final Collection<Member> known = members.getMembers();
        private final Set<String> tried = new HashSet<>();
        private final CompletableFuture<Optional<TokenAnswer>> result = new CompletableFuture<>();

        Search(TokenRequest request) {
            this.request = request;
            this.shard = RateShard.of(request.zone(), request.account());
            tried.add(members.getSelf().instance());
        }

        void next(Optional<String> hint) {
            Optional<Member> member = choose(hint);
            if (member.isEmpty() || tried.size() > MAX_HOPS) {
                holders.remove(shard);
                result.complete(Optional.empty());
                return;
            }
            String instance = member.get().instance();
            tried.add(instance);
            network.connect(MemberService.toAddress(member.get()))
                    .thenCompose(connection ->
                            connection.request(TokenMessages.toMessage(request)).response())
                    .whenComplete((message, failure) -> onAnswer(instance, message, failure));
        }

        private void onAnswer(String instance, Message message, Throwable failure) {
            if (failure != null || !(message instanceof TokenAnswerMessage answer)) {
                next(Optional.empty());
                return;
            }
            if (!answer.isAllocator()) {
                next(answer.allocator());
                return;
            }
            holders.put(shard, instance);
            result.complete(Optional.of(TokenMessages.toAnswer(answer)));
        }

        private Optional<Member> choose(Optional<String> hint) {
            if (hint.isPresent()) {
                Optional<Member> named = find(hint.get());
                if (named.isPresent()) {
                    return named;
                }
            }
            Optional<Member> last = Optional.ofNullable(holders.get(shard))
                    .or(() -> allocators.findHolder(shard))
                    .flatMap(this::find);
            if (last.isPresent()) {
                return last;
            }
            List<Member> candidates = shard.toCandidates(known);
            return candidates.stream()
                    .filter(member -> !tried.contains(member.instance()))
                    .findFirst();
        }

        private Optional<Member> find(String instance) {
            return known.stream()
                    .filter(member -> member.instance().equals(instance) && !tried.contains(instance))
                    .findFirst();
        }
    }
}
