/*
    Library that is preloaded into a host to simulate a broken network path. While the file that CHALKWAY_CUT_NETWORK
    names exists, it holds port numbers: new connections to any of the second to last port end at the first one instead,
    on 127.0.0.1. Open connections are not affected.
*/
#include <dlfcn.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

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
