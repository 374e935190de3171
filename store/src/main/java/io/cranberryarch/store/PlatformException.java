package io.cranberryarch.store;

/** Thrown when the platform's store gives no answer. A write may have taken effect all the same. */
public final class PlatformException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception.
     *
     * @param message what happened
     */
    public PlatformException(String message) {
        super(message);
    }

    /**
     * Creates an exception with a cause.
     *
     * @param message what happened
     * @param cause the failure
     */
    public PlatformException(String message, Throwable cause) {
        super(message, cause);
    }
}
