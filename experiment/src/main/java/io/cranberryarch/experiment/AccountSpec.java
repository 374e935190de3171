package io.cranberryarch.experiment;

/**
 * A client account of the model.
 *
 * @param name the name
 * @param weight its weight
 * @param demand its first attempts, as a share of the load
 */
record AccountSpec(String name, double weight, double demand) {}
