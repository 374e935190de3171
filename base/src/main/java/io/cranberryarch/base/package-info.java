/** Types shared by all modules: clocks, digests, a resource closer and a rate limiter for log lines. */
package io.cranberryarch.base;
