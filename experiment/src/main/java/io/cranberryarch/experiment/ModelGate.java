package io.cranberryarch.experiment;

/** Stands in front of an instance of the model. */
interface ModelGate {

    /**
     * Asks for admission.
     *
     * @param request the request
     * @param deadlineMicros when the answer is of no use
     * @param run called if the call runs, now or later; {@link #exit} must follow
     * @param refuse called if it does not
     */
    void enter(ModelRequest request, long deadlineMicros, Runnable run, Runnable refuse);

    void beginNested();

    void endNested();

    void exit(long durationMs, long ownMs, boolean isFailed);

    int toThreshold(ModelRequest request);

    int getInFlight();
}
