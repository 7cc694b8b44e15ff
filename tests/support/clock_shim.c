/* A library that is preloaded into a node and steps its wall clock.
   The file CLOCK_SHIM_FILE holds the offset from the true time in nanoseconds, as a signed 64-bit integer. The
   monotonic clock is not changed. The kernel's receive timestamps are shifted together with the wall clock, as
   they are after a real step. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdlib.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define NANOSECONDS_PER_SECOND 1000000000LL

static volatile int64_t *offset_ns;
static int (*real_clock_gettime)(clockid_t, struct timespec *);
static ssize_t (*real_recvmsg)(int, struct msghdr *, int);

__attribute__((constructor)) static void open_offset(void) {
    int descriptor = open(getenv("CLOCK_SHIM_FILE"), O_RDONLY);
    offset_ns = mmap(NULL, sizeof *offset_ns, PROT_READ, MAP_SHARED, descriptor, 0);
    close(descriptor);
    real_clock_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    real_recvmsg = dlsym(RTLD_NEXT, "recvmsg");
}

static void add_offset(struct timespec *timestamp) {
    int64_t total_ns = timestamp->tv_sec * NANOSECONDS_PER_SECOND + timestamp->tv_nsec + *offset_ns;
    timestamp->tv_sec = total_ns / NANOSECONDS_PER_SECOND;
    timestamp->tv_nsec = total_ns % NANOSECONDS_PER_SECOND;
}

int clock_gettime(clockid_t clock, struct timespec *timestamp) {
    int result = real_clock_gettime(clock, timestamp);
    if (!result && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) add_offset(timestamp);
    return result;
}

int gettimeofday(struct timeval *restrict timestamp, void *restrict zone) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    timestamp->tv_sec = now.tv_sec;
    timestamp->tv_usec = now.tv_nsec / 1000;
    return 0;
}

time_t time(time_t *seconds) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    if (seconds) *seconds = now.tv_sec;
    return now.tv_sec;
}

ssize_t recvmsg(int descriptor, struct msghdr *message, int flags) {
    ssize_t result = real_recvmsg(descriptor, message, flags);
    if (result < 0) return result;
    for (struct cmsghdr *header = CMSG_FIRSTHDR(message); header; header = CMSG_NXTHDR(message, header))
        if (header->cmsg_level == SOL_SOCKET && header->cmsg_type == SCM_TIMESTAMPNS)
            add_offset((struct timespec *)CMSG_DATA(header));
    return result;
}
