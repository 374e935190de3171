package io.cranberryarch.experiment;

/**
 * A client account of the model.
 *
 * @param name the name
 * @param weight the weight of its fair share
 * @param demand the rate of its first attempts, on the scale of the weights
 */
record AccountSpec(String name, double weight, double demand) {}
