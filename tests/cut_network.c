/*
    Library that is preloaded into a host to simulate a broken network path. While the file that CHALKWAY_CUT_NETWORK
    names exists, it holds port numbers: new connections to any of the second to last port end at the first one instead,
    on 127.0.0.1. Open connections are not affected. While the file that CHALKWAY_LOSE_DATAGRAMS names exists, the host
    receives no datagrams; those that have arrived are lost.
*/
#include <dlfcn.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

static int (*real_connect)(int, const struct sockaddr*, socklen_t);

/* The port at which a connection to this port ends. */
static unsigned redirected_port(unsigned port) {
    const char* path = getenv("CHALKWAY_CUT_NETWORK");
    FILE* file = path ? fopen(path, "r") : NULL;
    unsigned target = 0;
    unsigned cut = 0;
    unsigned result = port;
    if (!file) {
        return port;
    }
    if (fscanf(file, "%u", &target) == 1) {
        while (fscanf(file, "%u", &cut) == 1) {
            result = cut == port ? target : result;
        }
    }
    fclose(file);
    return result;
}

int connect(int fd, const struct sockaddr* address, socklen_t size) {
    if (!real_connect) {
        real_connect = (int (*)(int, const struct sockaddr*, socklen_t))dlsym(RTLD_NEXT, "connect");
    }
    struct sockaddr_in target;
    if (address->sa_family != AF_INET || size < sizeof(target)) {
        return real_connect(fd, address, size);
    }
    memcpy(&target, address, sizeof(target));
    target.sin_port = htons((unsigned short)redirected_port(ntohs(target.sin_port)));
    return real_connect(fd, (struct sockaddr*)&target, sizeof(target));
}

static ssize_t (*real_recvfrom)(int, void*, size_t, int, struct sockaddr*, socklen_t*);

ssize_t recvfrom(int fd, void* bytes, size_t size, int flags, struct sockaddr* from, socklen_t* from_size) {
    if (!real_recvfrom) {
        real_recvfrom = (ssize_t(*)(int, void*, size_t, int, struct sockaddr*, socklen_t*))dlsym(RTLD_NEXT, "recvfrom");
    }
    const char* path = getenv("CHALKWAY_LOSE_DATAGRAMS");
    ssize_t received = real_recvfrom(fd, bytes, size, flags, from, from_size);
    while (received > 0 && from && path && access(path, F_OK) == 0) {
        received = real_recvfrom(fd, bytes, size, flags, from, from_size);
    }
    return received;
}

static int (*real_clock_gettime)(clockid_t, struct timespec*);

/* The time of day is CHALKWAY_CLOCK_AHEAD_S seconds ahead. */
int clock_gettime(clockid_t clock, struct timespec* out) {
    if (!real_clock_gettime) {
        real_clock_gettime = (int (*)(clockid_t, struct timespec*))dlsym(RTLD_NEXT, "clock_gettime");
    }
    const char* ahead = getenv("CHALKWAY_CLOCK_AHEAD_S");
    int result = real_clock_gettime(clock, out);
    out->tv_sec += clock == CLOCK_REALTIME && ahead ? strtol(ahead, NULL, 10) : 0;
    return result;
}
