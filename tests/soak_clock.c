/*
    Library that is preloaded into the hosts of a soak to simulate a suspended machine: after SIGCONT the monotonic
    clocks continue from where they stopped, while the other clocks have advanced. On each SIGCONT it reads the total
    time of suspension in ms from the file that CHALKWAY_SOAK_SLEEP names; if that file is missing, the clocks are not
    set back.
*/
#include <dlfcn.h>
#include <fcntl.h>
#include <signal.h>
#include <stdint.h>
#include <stdlib.h>
#include <time.h>
#include <unistd.h>

#define NS_PER_MS 1000000
#define NS_PER_S 1000000000

static volatile int64_t suspended_total_ms;
static int (*real_clock_gettime)(clockid_t, struct timespec*);
static const char* suspend_path;

/* Makes async-signal-safe calls only. */
static void on_continue(int number) {
    (void)number;
    char text[24] = "";
    int fd = suspend_path ? open(suspend_path, O_RDONLY | O_CLOEXEC) : -1;
    if (fd < 0) {
        return;
    }
    ssize_t size = read(fd, text, sizeof(text) - 1);
    close(fd);
    int64_t ms = 0;
    for (ssize_t i = 0; i < size && text[i] >= '0' && text[i] <= '9'; i++) {
        ms = ms * 10 + (text[i] - '0');
    }
    suspended_total_ms = ms;
}

__attribute__((constructor)) static void install(void) {
    suspend_path = getenv("CHALKWAY_SOAK_SLEEP");
    struct sigaction action = {.sa_handler = on_continue, .sa_flags = SA_RESTART};
    sigaction(SIGCONT, &action, NULL);
}

int clock_gettime(clockid_t id, struct timespec* out) {
    if (!real_clock_gettime) { /* resolved on the first call: other libraries read the clock while they are loaded */
        real_clock_gettime = (int (*)(clockid_t, struct timespec*))dlsym(RTLD_NEXT, "clock_gettime");
    }
    int result = real_clock_gettime(id, out);
    if (result == 0 && (id == CLOCK_MONOTONIC || id == CLOCK_MONOTONIC_COARSE || id == CLOCK_MONOTONIC_RAW)) {
        int64_t ns = (int64_t)out->tv_sec * NS_PER_S + out->tv_nsec - suspended_total_ms * NS_PER_MS;
        out->tv_sec = (time_t)(ns / NS_PER_S);
        out->tv_nsec = (long)(ns % NS_PER_S);
    }
    return result;
}
