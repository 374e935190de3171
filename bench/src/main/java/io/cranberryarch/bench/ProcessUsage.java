package io.cranberryarch.bench;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * The resource usage of this process.
 *
 * @param cpuNanos the processor time in nanoseconds
 * @param sentBytes the bytes passed to write system calls, almost all to sockets
 * @param writes the number of write system calls
 */
record ProcessUsage(long cpuNanos, long sentBytes, long writes) {

    static ProcessUsage read() throws IOException {
        long writtenBytes = 0;
        long writes = 0;
        for (String line : Files.readAllLines(Path.of("/proc/self/io"))) {
            String[] parts = line.split(": ");
            switch (parts[0]) {
                case "wchar" -> writtenBytes = Long.parseLong(parts[1]);
                case "syscw" -> writes = Long.parseLong(parts[1]);
                default -> {}
            }
        }
        OperatingSystemMXBean operatingSystem = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        return new ProcessUsage(operatingSystem.getProcessCpuTime(), writtenBytes, writes);
    }

    ProcessUsage minus(ProcessUsage before) {
        return new ProcessUsage(cpuNanos - before.cpuNanos, sentBytes - before.sentBytes, writes - before.writes);
    }
}
