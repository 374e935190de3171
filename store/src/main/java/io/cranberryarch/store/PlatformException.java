package io.cranberryarch.store;

/** Thrown when an operation of the platform's store fails or is not answered. A write may still have taken effect. */
public final class PlatformException extends Exception {

    private static final long serialVersionUID = 1L;

    /**
     * Creates an exception with a message.
     *
     * @param message the reason
     */
    public PlatformException(String message) {
        super(message);
    }

    /**
     * Creates an exception with a message and a cause.
     *
     * @param message the reason
     * @param cause the cause
     */
    public PlatformException(String message, Throwable cause) {
        super(message, cause);
    }
}
