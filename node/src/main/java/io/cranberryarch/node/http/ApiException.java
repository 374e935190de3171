package io.cranberryarch.node.http;

import io.cranberryarch.api.ErrorBody;
import java.util.List;

/** Thrown when an operator's request is rejected, with the HTTP status and the error body of the response. */
final class ApiException extends Exception {

    private static final long serialVersionUID = 1L;

    private final int status;
    private final transient ErrorBody body;

    ApiException(int status, String error, List<String> details) {
        super(error);
        this.status = status;
        this.body = new ErrorBody(error, details);
    }

    int getStatus() {
        return status;
    }

    ErrorBody getBody() {
        return body;
    }
}
