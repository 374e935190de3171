package io.cranberryarch.node.rate;

import io.cranberryarch.decision.rate.GrantSettlement;
import io.cranberryarch.decision.rate.TokenAnswer;
import io.cranberryarch.decision.rate.TokenRequest;
import io.cranberryarch.wire.TokenAnswerMessage;
import io.cranberryarch.wire.TokenRequestMessage;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/** Converts token requests and their responses between the decision types and wire messages. */
final class TokenMessages {

    private TokenMessages() {}

    static TokenRequestMessage toMessage(TokenRequest request) {
        List<TokenRequestMessage.Settlement> settlements = new ArrayList<>();
        for (GrantSettlement settlement : request.settlements()) {
            settlements.add(
                    new TokenRequestMessage.Settlement(settlement.grant(), settlement.spent(), settlement.returned()));
        }
        return new TokenRequestMessage(
                request.zone(),
                request.account(),
                request.number(),
                request.needed(),
                request.wanted(),
                request.epoch(),
                settlements);
    }

    static TokenRequest toRequest(TokenRequestMessage message) {
        List<GrantSettlement> settlements = new ArrayList<>();
        for (TokenRequestMessage.Settlement settlement : message.settlements()) {
            settlements.add(new GrantSettlement(settlement.grant(), settlement.spent(), settlement.returned()));
        }
        return new TokenRequest(
                message.zone(),
                message.account(),
                message.number(),
                message.needed(),
                message.wanted(),
                message.epoch(),
                settlements);
    }

    static TokenAnswerMessage toMessage(TokenAnswer response) {
        return new TokenAnswerMessage(
                true,
                Optional.empty(),
                response.number(),
                response.epoch(),
                response.grant(),
                response.tokens(),
                response.lengthMs(),
                response.waitMs());
    }

    static TokenAnswer toResponse(TokenAnswerMessage message) {
        return new TokenAnswer(
                message.number(),
                message.epoch(),
                message.grant(),
                message.tokens(),
                message.lengthMs(),
                message.waitMs());
    }
}
