#include "lines.h"

#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

#include "clock.h"

#define LAST_LINES_WAIT_MS 250 /* time that a slow reader has at shutdown to take the last lines */

static void flush(cw_lines_t* l) {
    while (l->out.size) {
        ssize_t n = write(l->fd, l->out.data, l->out.size);
        if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
            ev_io_start(l->loop, &l->write_io);
            return;
        }
        if (n < 0) {
            cw_buffer_free(&l->out); /* for example EPIPE: no reader is left */
            break;
        }
        cw_buffer_consume(&l->out, (size_t)n);
    }
    ev_io_stop(l->loop, &l->write_io);
}

static void on_writable(struct ev_loop* loop, ev_io* w, int events) {
    (void)loop;
    (void)events;
    flush(w->data);
}

/* Writes all lines of one loop iteration with one system call. */
static void on_prepare(struct ev_loop* loop, ev_prepare* w, int events) {
    (void)loop;
    (void)events;
    cw_lines_t* l = w->data;
    if (l->out.size && !ev_is_active(&l->write_io)) {
        flush(l);
    }
}

void cw_lines_setup(cw_lines_t* l, struct ev_loop* loop, int fd, size_t max_bytes) {
    *l = (cw_lines_t){.loop = loop, .fd = fd, .max_bytes = max_bytes};
    int flags = fcntl(fd, F_GETFL, 0);
    if (flags >= 0) {
        fcntl(fd, F_SETFL, flags | O_NONBLOCK);
    }
    ev_io_init(&l->write_io, on_writable, fd, EV_WRITE);
    ev_prepare_init(&l->prepare, on_prepare);
    l->write_io.data = l->prepare.data = l;
    ev_prepare_start(loop, &l->prepare);
}

void cw_lines_add(cw_lines_t* l, const char* text) {
    size_t size = strlen(text);
    if (l->out.size + size + 1 > l->max_bytes) {
        l->dropped++;
        l->dropped_total++;
        return;
    }
    cw_buffer_add(&l->out, text, size);
    cw_buffer_add(&l->out, "\n", 1);
}

unsigned long cw_lines_take_dropped(cw_lines_t* l) {
    unsigned long dropped = l->dropped;
    l->dropped = 0;
    return dropped;
}

/* The last lines of a process say how it ended, so a slow reader is given time to take them. */
static void flush_last_lines(cw_lines_t* l) {
    int64_t until_ms = cw_clock_ms() + LAST_LINES_WAIT_MS;
    struct pollfd pollfd = {.fd = l->fd, .events = POLLOUT};
    flush(l);
    for (int64_t left_ms = LAST_LINES_WAIT_MS; l->out.size && left_ms > 0; left_ms = until_ms - cw_clock_ms()) {
        if (poll(&pollfd, 1, (int)left_ms) > 0) {
            flush(l);
        }
    }
}

void cw_lines_shutdown(cw_lines_t* l) {
    flush_last_lines(l);
    ev_io_stop(l->loop, &l->write_io);
    ev_prepare_stop(l->loop, &l->prepare);
    cw_buffer_free(&l->out);
}
