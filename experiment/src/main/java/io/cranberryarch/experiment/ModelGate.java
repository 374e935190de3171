package io.cranberryarch.experiment;

/** Admits calls to an instance of the model. */
interface ModelGate {

    /**
     * Requests admission for a call.
     *
     * @param request the request
     * @param deadlineMicros the time after which the answer is useless, in microseconds
     * @param run called when the call is admitted, immediately or later; {@link #exit} must follow
     * @param refuse called when the call is refused, immediately or later
     */
    void enter(ModelRequest request, long deadlineMicros, Runnable run, Runnable refuse);

    void beginNested();

    void endNested();

    void exit(long durationMs, long ownMs, boolean isFailed);

    int toThreshold(ModelRequest request);

    int getInFlight();
}
