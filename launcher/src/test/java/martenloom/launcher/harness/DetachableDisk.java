package martenloom.launcher.harness;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.function.BooleanSupplier;
import martenloom.common.error.StorageException;
import martenloom.core.storage.AppendedFile;
import martenloom.core.storage.FileSystemFolder;
import martenloom.core.storage.StorageFolder;

/**
 * The disk of one incarnation of a core daemon. Once it is detached, no call of that incarnation
 * returns or writes any more, whatever was under way; while it is full, every synced write fails.
 * Thread-safe.
 */
final class DetachableDisk {
    private static final Set<String> SYNCED_WRITES = Set.of("writeSynced", "appendSynced");

    private final StorageFolder folder;
    private final BooleanSupplier full;

    /** Guarded by this, together with the calls, so that none overlaps the moment of detaching. */
    private boolean detached;

    DetachableDisk(String path, BooleanSupplier full) {
        folder = new FileSystemFolder(path);
        this.full = full;
    }

    synchronized void detach() {
        detached = true;
    }

    /** The folder that the daemon is given. */
    StorageFolder asFolder() {
        return proxy(StorageFolder.class, folder);
    }

    private <T> T proxy(Class<T> type, T target) {
        return type.cast(
                Proxy.newProxyInstance(
                        type.getClassLoader(),
                        new Class<?>[] {type},
                        (proxy, method, arguments) -> invoke(target, method, arguments)));
    }

    private Object invoke(Object target, Method method, Object[] arguments) throws Throwable {
        if (SYNCED_WRITES.contains(method.getName()) && full.getAsBoolean()) {
            throw new StorageException("write", "no space left");
        }
        var outcome = invokeUnlessDetached(target, method, arguments);
        if (outcome.isEmpty()) {
            new CountDownLatch(1).await();
        }
        return outcome.orElseThrow()
                .map(
                        result ->
                                result instanceof AppendedFile file
                                        ? proxy(AppendedFile.class, file)
                                        : result)
                .orElse(null);
    }

    /** Empty where the disk is detached; otherwise the result, itself empty for null and void. */
    private synchronized Optional<Optional<Object>> invokeUnlessDetached(
            Object target, Method method, Object[] arguments) throws Throwable {
        try {
            return detached
                    ? Optional.empty()
                    : Optional.of(Optional.ofNullable(method.invoke(target, arguments)));
        } catch (InvocationTargetException e) {
            throw e.getCause();
        }
    }
}
