/** A model of call graphs under load, for comparisons of overload control policies. */
package io.cranberryarch.experiment;
