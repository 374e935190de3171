/** Interfaces and clients of the platform's transactional table and object store. */
package io.cranberryarch.store;
