/** Cranberryarch experiment: a model of call graphs under load, with a load and experiment tool. */
package io.cranberryarch.experiment;
