/** What is known of a request on its way: context, outcome, refusal, and tokens that cannot be forged. */
package io.cranberryarch.context;
