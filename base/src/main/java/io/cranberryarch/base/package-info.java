/** Types that every other module uses: a millisecond clock, a resource closer and hexadecimal digests. */
package io.cranberryarch.base;
