#include "address.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define LISTEN_BACKLOG 1024

cw_status_t cw_addr_parse(const char* text, struct sockaddr_in* out, cw_error_t* err) {
    char ip[CW_ADDR_TEXT_SIZE];
    cw_copy(ip, sizeof(ip), text);
    char* colon = strrchr(ip, ':');
    *out = (struct sockaddr_in){.sin_family = AF_INET};
    if (!colon) {
        return cw_fail(err, CW_ERR_INVALID, "address", text, "must be IP:PORT");
    }
    *colon = 0;
    char* end = NULL;
    unsigned long port = strtoul(colon + 1, &end, 10);
    if (end == colon + 1 || *end || port > UINT16_MAX || inet_pton(AF_INET, ip, &out->sin_addr) != 1) {
        return cw_fail(err, CW_ERR_INVALID, "address", text, "must be IP:PORT");
    }
    out->sin_port = htons((uint16_t)port);
    return CW_OK;
}

void cw_addr_format(const struct sockaddr_in* addr, char out[CW_ADDR_TEXT_SIZE]) {
    char ip[INET_ADDRSTRLEN] = "?";
    inet_ntop(AF_INET, &addr->sin_addr, ip, sizeof(ip));
    snprintf(out, CW_ADDR_TEXT_SIZE, "%s:%u", ip, (unsigned)ntohs(addr->sin_port));
}

static int bind_socket(const char* text, int type, cw_error_t* err) {
    struct sockaddr_in addr;
    if (cw_addr_parse(text, &addr, err) != CW_OK) {
        return -1;
    }
    int fd = socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    int yes = 1;
    if (fd >= 0 && type == SOCK_STREAM) {
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    }
    if (fd < 0 || bind(fd, (struct sockaddr*)&addr, sizeof(addr)) != 0) {
        cw_fail(err, CW_ERR_IO, "bind", text, "%s", strerror(errno));
        if (fd >= 0) {
            close(fd);
        }
        return -1;
    }
    return fd;
}

int cw_addr_listen(const char* text, char bound[CW_ADDR_TEXT_SIZE], cw_error_t* err) {
    int fd = bind_socket(text, SOCK_STREAM, err);
    if (fd < 0) {
        return -1;
    }
    struct sockaddr_in addr = {0};
    socklen_t len = sizeof(addr);
    if (listen(fd, LISTEN_BACKLOG) != 0 || getsockname(fd, (struct sockaddr*)&addr, &len) != 0) {
        cw_fail(err, CW_ERR_IO, "listen", text, "%s", strerror(errno));
        close(fd);
        return -1;
    }
    cw_addr_format(&addr, bound);
    return fd;
}

int cw_addr_bind_udp(const char* text, cw_error_t* err) {
    return bind_socket(text, SOCK_DGRAM, err);
}
