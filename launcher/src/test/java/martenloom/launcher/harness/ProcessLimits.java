package martenloom.launcher.harness;

/**
 * What one daemon process may use.
 *
 * @param heapMb the largest heap of its virtual machine
 * @param memoryMb {@code MemoryMb} of its settings: all the memory of its machine
 * @param maxFileDescriptors {@code MaxFileDescriptors} of its settings
 */
public record ProcessLimits(int heapMb, int memoryMb, int maxFileDescriptors) {}
