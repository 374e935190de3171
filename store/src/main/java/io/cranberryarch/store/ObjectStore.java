package io.cranberryarch.store;

import java.util.List;
import java.util.Optional;

/** The platform's object store. */
public interface ObjectStore {

    /**
     * Writes an object and replaces an existing one with the same name.
     *
     * @param name the name, not {@code null}
     * @param content the content, not {@code null}
     * @throws PlatformException if the store does not answer; the object may have been written
     */
    void put(String name, byte[] content) throws PlatformException;

    /**
     * Reads an object.
     *
     * @param name the name, not {@code null}
     * @return the content, or empty if it does not exist
     * @throws PlatformException if the store does not answer
     */
    Optional<byte[]> getObject(String name) throws PlatformException;

    /**
     * Deletes an object if it exists.
     *
     * @param name the name, not {@code null}
     * @throws PlatformException if the store does not answer; the object may have been deleted
     */
    void delete(String name) throws PlatformException;

    /**
     * Lists the names of objects in ascending order.
     *
     * @param prefix the prefix of the names
     * @return the names
     * @throws PlatformException if the store does not answer
     */
    List<String> listObjects(String prefix) throws PlatformException;
}
