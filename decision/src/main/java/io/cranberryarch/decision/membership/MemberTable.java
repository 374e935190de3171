package io.cranberryarch.decision.membership;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/** The members known to one node. Newer records replace older ones. Not thread-safe. */
public final class MemberTable {

    private final Map<String, Member> members = new HashMap<>();

    /**
     * Takes a record over if it is new.
     *
     * @param member the record, not {@code null}
     * @return whether it replaced or added a record
     */
    public boolean merge(Member member) {
        Member known = members.get(member.instance());
        if (known != null && !member.isNewerThan(known)) {
            return false;
        }
        members.put(member.instance(), member);
        return true;
    }

    /**
     * Finds a member.
     *
     * @param instance the name of the instance
     * @return the record, or empty
     */
    public Optional<Member> find(String instance) {
        return Optional.ofNullable(members.get(instance));
    }

    /**
     * Lists the members that take calls for a service.
     *
     * @param service the service
     * @return the members in no particular order
     */
    public List<Member> findServing(String service) {
        List<Member> found = new ArrayList<>();
        for (Member member : members.values()) {
            if (member.state().isServing() && member.service().equals(service)) {
                found.add(member);
            }
        }
        return found;
    }

    /**
     * Lists all members.
     *
     * @return the records, unmodifiable
     */
    public Collection<Member> getAll() {
        return List.copyOf(members.values());
    }
}
