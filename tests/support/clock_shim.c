/* Preloaded into a node: steps its wall clock by the nanoseconds that stand in the file CLOCK_SHIM_FILE.
   The monotonic clock is left alone. The kernel's receive stamps move with the wall clock, as after a real step. */
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

static volatile int64_t *offset;
static int (*real_clock_gettime)(clockid_t, struct timespec *);
static ssize_t (*real_recvmsg)(int, struct msghdr *, int);

__attribute__((constructor)) static void open_offset(void) {
    int descriptor = open(getenv("CLOCK_SHIM_FILE"), O_RDONLY);
    offset = mmap(NULL, sizeof *offset, PROT_READ, MAP_SHARED, descriptor, 0);
    close(descriptor);
    real_clock_gettime = dlsym(RTLD_NEXT, "clock_gettime");
    real_recvmsg = dlsym(RTLD_NEXT, "recvmsg");
}

static void step(struct timespec *moment) {
    int64_t total = moment->tv_sec * NANOSECONDS_PER_SECOND + moment->tv_nsec + *offset;
    moment->tv_sec = total / NANOSECONDS_PER_SECOND;
    moment->tv_nsec = total % NANOSECONDS_PER_SECOND;
}

int clock_gettime(clockid_t clock, struct timespec *moment) {
    int result = real_clock_gettime(clock, moment);
    if (!result && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) step(moment);
    return result;
}

int gettimeofday(struct timeval *restrict moment, void *restrict zone) {
    struct timespec now;
    clock_gettime(CLOCK_REALTIME, &now);
    moment->tv_sec = now.tv_sec;
    moment->tv_usec = now.tv_nsec / 1000;
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
    for (struct cmsghdr *part = CMSG_FIRSTHDR(message); part; part = CMSG_NXTHDR(message, part))
        if (part->cmsg_level == SOL_SOCKET && part->cmsg_type == SCM_TIMESTAMPNS)
            step((struct timespec *)CMSG_DATA(part));
    return result;
}
