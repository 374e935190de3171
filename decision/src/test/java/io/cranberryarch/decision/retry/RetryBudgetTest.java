package io.cranberryarch.decision.retry;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cranberryarch.context.Refusal;
import io.cranberryarch.context.RefusalReason;
import java.util.Optional;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;

class RetryBudgetTest {

    private static final int MAX_FAN_OUT = 3;
    private static final int MAX_CALLS = 5_000;

    @Property(tries = 500, seed = "1")
    void retriesOfOneRequestStayWithinTheBudgetOfItsRoot(
            @ForAll long seed, @ForAll @IntRange(min = 1, max = 10) int depth, @ForAll boolean mayHaveRun) {
        Tree tree = new Tree(new Random(seed), mayHaveRun);
        tree.send(depth, RetryBudget.ROOT_TOKENS);
        assertTrue(tree.retries <= RetryBudget.ROOT_TOKENS, "retries " + tree.retries);
        if (!mayHaveRun) {
            assertTrue(tree.attempts <= tree.calls + RetryBudget.ROOT_TOKENS, tree.attempts + " of " + tree.calls);
        }
    }

    @Property(tries = 100, seed = "1")
    void chainOfTenCallsHasRetriesLeftAtItsEnd(@ForAll @IntRange(min = 1, max = 10) int depth) {
        int tokens = RetryBudget.ROOT_TOKENS;
        for (int i = 0; i < depth; i++) {
            tokens = new RetryBudget(new RetryBudget(tokens).reserve()).reserve();
        }
        assertTrue(tokens >= 1);
    }

    /** A random call tree that uses budgets as nodes do; nested calls of one running call overlap at random. */
    private static final class Tree {

        private final Random random;
        private final boolean mayHaveRun;
        private int calls;
        private int attempts;
        private int retries;

        Tree(Random random, boolean mayHaveRun) {
            this.random = random;
            this.mayHaveRun = mayHaveRun;
        }

        int send(int depth, int tokens) {
            calls++;
            RetryBudget budget = new RetryBudget(tokens);
            while (true) {
                Answer answer = attempt(depth, budget.reserve());
                budget.refund(answer.tokens);
                boolean isRetryable = answer.refusal
                        .filter(refusal -> RetryDecision.isAllowed(refusal, mayHaveRun))
                        .isPresent();
                if (!isRetryable || !budget.trySpend()) {
                    return budget.getTokens();
                }
                retries++;
            }
        }

        private Answer attempt(int depth, int tokens) {
            attempts++;
            if (random.nextInt(3) == 0) {
                return new Answer(Optional.of(Refusal.ofNotRun(RefusalReason.DRAINING, 1)), tokens);
            }
            RetryBudget budget = new RetryBudget(tokens);
            int fanOut = depth <= 1 || calls > MAX_CALLS ? 0 : random.nextInt(MAX_FAN_OUT + 1);
            int unspent = 0;
            for (int i = 0; i < fanOut; i++) {
                unspent += send(depth - 1, budget.reserve());
                if (random.nextBoolean()) {
                    budget.refund(unspent);
                    unspent = 0;
                }
            }
            if (mayHaveRun && random.nextInt(4) == 0) {
                boolean isLost = random.nextBoolean();
                Refusal refusal = Refusal.ofUnknown(RefusalReason.PEER_LOST, 1);
                return new Answer(Optional.of(refusal), isLost ? 0 : budget.getTokens());
            }
            return new Answer(Optional.empty(), budget.getTokens() + unspent);
        }
    }

    private record Answer(Optional<Refusal> refusal, int tokens) {}
}
