package io.cranberryarch.bench;

import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.nio.file.Files;
import java.nio.file.Path;

/**
 * What this process has used until now.
 *
 * @param cpuNanos processor time
 * @param sentBytes bytes handed to the system in writes, almost all to sockets
 * @param writes calls of the system that write
 */
record ProcessUsage(long cpuNanos, long sentBytes, long writes) {

    static ProcessUsage read() throws IOException {
        long sent = 0;
        long writes = 0;
        for (String line : Files.readAllLines(Path.of("/proc/self/io"))) {
            String[] parts = line.split(": ");
            switch (parts[0]) {
                case "wchar" -> sent = Long.parseLong(parts[1]);
                case "syscw" -> writes = Long.parseLong(parts[1]);
                default -> {}
            }
        }
        OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
        return new ProcessUsage(system.getProcessCpuTime(), sent, writes);
    }

    ProcessUsage minus(ProcessUsage before) {
        return new ProcessUsage(cpuNanos - before.cpuNanos, sentBytes - before.sentBytes, writes - before.writes);
    }
}
