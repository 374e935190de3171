/** A discrete-event model of a fleet whose nodes run the decisions of {@code decision.serving}. */
package io.cranberryarch.experiment.serving;
