#include "frontend.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../io/address.h"

#define MS_PER_S 1000.0
#define LINGER_S 1.0 /* a connection being closed is read for this time, so that the response is not lost */
#define PIPELINED_MAX_BYTES 65536 /* bytes that a caller may pipeline before reading from it pauses */
#define ACCEPT_BATCH 16           /* connections accepted in one iteration of the event loop */
#define PEER_TIMEOUT_MS 8000      /* a caller that acknowledges nothing for this time counts as lost */
#define IDLE_SLACK_MS 200         /* an idle connection is closed this long after the limit */
#define UNREAD_MAX_S 60.0         /* without progress; then a response that its caller doesn't read is given up */

typedef enum caller_state_t {
    CALLER_READING = 0, /* reading a request, or idle before one */
    CALLER_ACTIVE,      /* the owner is handling the request */
    CALLER_CLOSING      /* the last response is being sent */
} caller_state_t;

struct caller_t {
    frontend_t* front;
    cw_stream_t stream;
    cw_message_t message;
    cw_buffer_t body;
    cw_buffer_t pipelined; /* bytes received after the request */
    caller_state_t state;
    bool must_close;
    bool is_finished; /* the last response was written completely */
    cw_framing_t framing;
    bool is_bodiless; /* the response has no body */
    ev_timer timer;
    size_t unread_bytes; /* of the response, when the timer last ran out */
    double unread_s;     /* since when their number has been the same */
    void* data;
    caller_t* prev;
    caller_t* next;
};

struct frontend_t {
    frontend_desc_t desc;
    char address[CW_ADDR_TEXT_SIZE];
    int fd;
    ev_io accept_io;
    bool is_draining;
    caller_t* callers;
    frontend_stats_t stats;
};

static void read_pipelined(caller_t* c);

/* -- lifetime of a connection --------------------------------------------- */

static void free_body(caller_t* c) {
    c->front->stats.body_bytes -= c->body.size;
    cw_buffer_free(&c->body);
}

static void caller_free(caller_t* c) {
    frontend_t* f = c->front;
    cw_stream_close(&c->stream);
    ev_timer_stop(f->desc.loop, &c->timer);
    free_body(c);
    cw_buffer_free(&c->pipelined);
    cw_message_shutdown(&c->message);
    if (c->prev) {
        c->prev->next = c->next;
    } else {
        f->callers = c->next;
    }
    if (c->next) {
        c->next->prev = c->prev;
    }
    f->stats.open--;
    free(c);
}

static void timer_start(caller_t* c, double after_s) {
    ev_timer_stop(c->front->desc.loop, &c->timer);
    ev_timer_set(&c->timer, after_s, 0.0);
    ev_timer_start(c->front->desc.loop, &c->timer);
}

static void timer_stop(caller_t* c) {
    ev_timer_stop(c->front->desc.loop, &c->timer);
}

static void wait_for_request(caller_t* c) {
    frontend_limits_t limits = c->front->desc.limits(c->front->desc.user_data);
    timer_start(c, (limits.idle_ms + IDLE_SLACK_MS) / MS_PER_S);
}

/* Sends the unsent bytes, shuts the connection down for writing and reads on for a while. */
static void start_closing(caller_t* c) {
    c->state = CALLER_CLOSING;
    if (!cw_stream_unsent_bytes(&c->stream)) {
        cw_stream_shutdown_write(&c->stream);
        c->is_finished = true;
    }
    timer_start(c, LINGER_S);
}

static void end_response(caller_t* c) {
    c->front->stats.active--;
    c->data = NULL;
    cw_stream_flush(&c->stream);
    cw_stream_pause_reading(&c->stream, false);
    free_body(c);
    if (c->must_close) {
        start_closing(c);
        return;
    }
    c->state = CALLER_READING;
    cw_message_reset(&c->message);
    wait_for_request(c);
    read_pipelined(c);
}

/* -- responses ------------------------------------------------------------ */

static void write_head(caller_t* c, unsigned status, const char* fields) {
    cw_buffer_t out = {0};
    c->must_close = c->must_close || c->front->is_draining || !c->message.keep_alive;
    cw_message_add_text(&out, "HTTP/1.1 %u %s\r\n", status, cw_message_reason_phrase(status));
    cw_buffer_add(&out, fields, strlen(fields));
    if (c->must_close) {
        cw_message_add_field(&out, "Connection", "close");
    }
    cw_stream_write(&c->stream, out.data, out.size);
    cw_buffer_free(&out);
}

static void write_end_of_head(caller_t* c, cw_framing_t framing, uint64_t length) {
    cw_buffer_t out = {0};
    if (framing == CW_FRAMING_CHUNKED) {
        cw_message_add_field(&out, "Transfer-Encoding", "chunked");
    } else if (framing == CW_FRAMING_LENGTH) {
        cw_message_add_text(&out, "Content-Length: %llu\r\n", (unsigned long long)length);
    }
    cw_message_end_head(&out);
    cw_stream_write(&c->stream, out.data, out.size);
    cw_buffer_free(&out);
}

void caller_reply(caller_t* c, unsigned status, const char* fields, const void* body, size_t size) {
    write_head(c, status, fields);
    write_end_of_head(c, CW_FRAMING_LENGTH, size);
    if (!c->is_bodiless) {
        cw_stream_write(&c->stream, body, size);
    }
    end_response(c);
}

void caller_begin_response(caller_t* c, unsigned status, const char* fields, cw_framing_t framing, uint64_t length) {
    c->is_bodiless = c->is_bodiless || !cw_message_status_has_body(status);
    c->framing = c->is_bodiless && framing != CW_FRAMING_LENGTH ? CW_FRAMING_NONE : framing;
    if (c->framing == CW_FRAMING_UNTIL_CLOSE) {
        c->framing = CW_FRAMING_CHUNKED; /* so that the caller can tell a complete response from a truncated one */
    }
    if (c->framing == CW_FRAMING_CHUNKED && c->message.parser.http_major == 1 && c->message.parser.http_minor == 0) {
        c->framing = CW_FRAMING_UNTIL_CLOSE;
        c->must_close = true;
    }
    write_head(c, status, fields);
    write_end_of_head(c, c->framing, length);
    cw_stream_flush(&c->stream);
}

void caller_write(caller_t* c, const void* data, size_t size) {
    if (c->is_bodiless) {
        return;
    }
    if (c->framing == CW_FRAMING_CHUNKED) {
        cw_buffer_t out = {0};
        cw_message_add_chunk(&out, data, size);
        cw_stream_write(&c->stream, out.data, out.size);
        cw_buffer_free(&out);
    } else {
        cw_stream_write(&c->stream, data, size);
    }
    cw_stream_flush(&c->stream);
}

size_t caller_unsent_bytes(const caller_t* c) {
    return cw_stream_unsent_bytes(&c->stream);
}

void caller_end_response(caller_t* c, bool is_complete) {
    if (!is_complete) {
        c->front->stats.active--;
        cw_stream_abort(&c->stream);
        caller_free(c);
        return;
    }
    if (c->framing == CW_FRAMING_CHUNKED) {
        cw_buffer_t out = {0};
        cw_message_add_last_chunk(&out);
        cw_stream_write(&c->stream, out.data, out.size);
        cw_buffer_free(&out);
    }
    end_response(c);
}

const cw_message_t* caller_request(const caller_t* c) {
    return &c->message;
}

const cw_buffer_t* caller_body(const caller_t* c) {
    return &c->body;
}

void caller_set_data(caller_t* c, void* data) {
    c->data = data;
}

void* caller_data(const caller_t* c) {
    return c->data;
}

/* -- reading -------------------------------------------------------------- */

/* Responds to a request that is not handed to the owner, and closes the connection. */
static void reject(caller_t* c, unsigned status, const char* fields) {
    timer_stop(c);
    c->must_close = true;
    c->is_bodiless = false;
    c->message.state = CW_MESSAGE_MALFORMED; /* further bytes are not parsed as a request */
    c->front->stats.active++;
    caller_reply(c, status, fields, "", 0);
}

static bool expects_continue(const cw_message_t* m) {
    const char* expect = cw_message_field(m, "Expect");
    return expect && strcasecmp(expect, "100-continue") == 0;
}

static void on_head(void* owner) {
    caller_t* c = owner;
    frontend_limits_t limits = c->front->desc.limits(c->front->desc.user_data);
    c->is_bodiless = strcmp(c->message.method, "HEAD") == 0;
    if (c->message.framing != CW_FRAMING_NONE && c->message.length <= limits.body_bytes &&
        expects_continue(&c->message)) {
        static const char continue_line[] = "HTTP/1.1 100 Continue\r\n\r\n";
        cw_stream_write(&c->stream, continue_line, sizeof(continue_line) - 1);
        cw_stream_flush(&c->stream);
    }
}

static void on_body(void* owner, const char* data, size_t size) {
    caller_t* c = owner;
    cw_buffer_add(&c->body, data, size);
    c->front->stats.body_bytes += size;
}

static const cw_message_handlers_t message_handlers = {.on_head = on_head, .on_body = on_body};

static void dispatch_request(caller_t* c) {
    timer_stop(c);
    c->state = CALLER_ACTIVE;
    c->front->stats.active++;
    c->front->stats.requests++;
    c->front->desc.on_request(c, c->front->desc.user_data);
}

/* Rejects the request for now: its caller may send it again. */
static void reject_for_now(caller_t* c) {
    cw_buffer_t fields = {0};
    cw_message_add_field(&fields, c->front->desc.retry_after_field, "1");
    reject(c, 503, fields.data);
    cw_buffer_free(&fields);
}

static void reject_over_limit(caller_t* c, const frontend_limits_t* limits, unsigned status) {
    if (limits->is_provisional) {
        reject_for_now(c);
    } else {
        reject(c, status, "");
    }
}

/* Rejects the request if what has been read of it is malformed or exceeds a limit. Returns whether it did. */
static bool reject_if_invalid(caller_t* c) {
    frontend_t* f = c->front;
    frontend_limits_t limits = f->desc.limits(f->desc.user_data);
    bool is_in_head = c->message.state == CW_MESSAGE_HEAD;
    if (c->message.state == CW_MESSAGE_MALFORMED) {
        f->stats.malformed++;
        reject(c, 400, "");
    } else if ((is_in_head && c->message.head_bytes > limits.head_bytes) || c->message.text.size > limits.head_bytes) {
        reject_over_limit(c, &limits, 431);
    } else if (!is_in_head && (c->message.length > limits.body_bytes || c->body.size > limits.body_bytes)) {
        reject_over_limit(c, &limits, 413);
    } else if (f->stats.body_bytes > f->desc.max_body_total) {
        f->stats.rejected_full++;
        reject_for_now(c);
    } else {
        return false;
    }
    return true;
}

/* Parses a request and buffers the bytes after it. May free the caller. */
static void read_request(caller_t* c, const char* data, size_t size) {
    bool was_idle = c->message.state == CW_MESSAGE_IDLE;
    size_t used = cw_message_parse(&c->message, data, size);
    if (was_idle && c->message.state != CW_MESSAGE_IDLE) {
        timer_start(c, c->front->desc.limits(c->front->desc.user_data).head_ms / MS_PER_S);
    }
    if (reject_if_invalid(c)) {
        return;
    }
    if (c->message.state == CW_MESSAGE_COMPLETE) {
        cw_buffer_add(&c->pipelined, data + used, size - used);
        dispatch_request(c);
    }
}

static void read_pipelined(caller_t* c) {
    if (!c->pipelined.size) {
        return;
    }
    cw_buffer_t pipelined = c->pipelined;
    c->pipelined = (cw_buffer_t){0};
    read_request(c, pipelined.data, pipelined.size);
    cw_buffer_free(&pipelined);
}

static void on_data(void* owner, const char* data, size_t size) {
    caller_t* c = owner;
    if (c->state == CALLER_READING) {
        read_request(c, data, size);
    } else if (c->state == CALLER_ACTIVE) {
        cw_buffer_add(&c->pipelined, data, size);
        if (c->pipelined.size > PIPELINED_MAX_BYTES) {
            cw_stream_pause_reading(&c->stream, true);
        }
    }
}

static void on_drained(void* owner) {
    caller_t* c = owner;
    if (c->state == CALLER_ACTIVE) {
        c->front->desc.on_drained(c, c->front->desc.user_data);
    } else if (c->state == CALLER_CLOSING && !c->is_finished) {
        cw_stream_shutdown_write(&c->stream);
        c->is_finished = true;
    } else if (c->state == CALLER_READING && c->message.state == CW_MESSAGE_IDLE) {
        wait_for_request(c); /* idle from now on, not since the response was received */
    }
}

static void on_end(void* owner, cw_stream_end_reason_t end) {
    (void)end;
    caller_t* c = owner;
    if (c->state == CALLER_ACTIVE) {
        c->front->stats.active--;
        c->front->desc.on_caller_closed(c, c->front->desc.user_data);
    }
    caller_free(c);
}

static const cw_stream_handlers_t stream_handlers = {.on_data = on_data, .on_drained = on_drained, .on_end = on_end};

/* Whether the caller may still read the rest of its response. */
static bool is_response_unread(caller_t* c) {
    size_t unread_bytes = cw_stream_unsent_bytes(&c->stream);
    c->unread_s = unread_bytes == c->unread_bytes ? c->unread_s + LINGER_S : 0;
    c->unread_bytes = unread_bytes;
    return unread_bytes && c->unread_s < UNREAD_MAX_S;
}

static void on_timer(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    caller_t* c = w->data;
    if (c->state == CALLER_READING && c->message.state != CW_MESSAGE_IDLE) {
        c->front->stats.timed_out++;
        reject(c, 408, "");
    } else if (is_response_unread(c)) {
        timer_start(c, LINGER_S); /* the caller reads slowly; the stream ends by itself if it is gone */
    } else {
        caller_free(c);
    }
}

/* -- accepting ------------------------------------------------------------ */

static void caller_open(frontend_t* f, int fd) {
    caller_t* c = calloc(1, sizeof(*c));
    if (!c) {
        abort();
    }
    c->front = f;
    c->next = f->callers;
    if (f->callers) {
        f->callers->prev = c;
    }
    f->callers = c;
    f->stats.open++;
    f->stats.accepted++;
    ev_timer_init(&c->timer, on_timer, 0.0, 0.0);
    c->timer.data = c;
    cw_message_setup(&c->message, CW_MESSAGE_REQUEST, &message_handlers, c);
    cw_stream_accept(&c->stream, f->desc.loop, fd, &stream_handlers, c);
    cw_stream_set_peer_timeout(&c->stream, PEER_TIMEOUT_MS);
    wait_for_request(c);
}

static void on_accept(struct ev_loop* loop, ev_io* w, int events) {
    (void)loop;
    (void)events;
    frontend_t* f = w->data;
    for (int i = 0; i < ACCEPT_BATCH; i++) {
        int fd = accept4(f->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (fd < 0) {
            return;
        }
        if (f->stats.open >= f->desc.max_connections) {
            close(fd);
            continue;
        }
        caller_open(f, fd);
    }
}

frontend_t* frontend_setup(const frontend_desc_t* desc, cw_error_t* err) {
    char bound[CW_ADDR_TEXT_SIZE];
    int fd = cw_addr_listen(desc->address, bound, err);
    if (fd < 0) {
        return NULL;
    }
    frontend_t* f = calloc(1, sizeof(*f));
    if (!f) {
        abort();
    }
    f->desc = *desc;
    f->fd = fd;
    cw_copy(f->address, sizeof(f->address), bound);
    ev_io_init(&f->accept_io, on_accept, fd, EV_READ);
    f->accept_io.data = f;
    ev_io_start(desc->loop, &f->accept_io);
    return f;
}

const char* frontend_address(const frontend_t* f) {
    return f->address;
}

frontend_unsent_t frontend_unsent(const frontend_t* f) {
    frontend_unsent_t unsent = {0};
    for (const caller_t* c = f->callers; c; c = c->next) {
        size_t bytes = c->state == CALLER_ACTIVE ? 0 : cw_stream_unsent_bytes(&c->stream);
        unsent.responses += bytes > 0;
        unsent.bytes += bytes;
    }
    return unsent;
}

void frontend_drain(frontend_t* f) {
    f->is_draining = true;
}

frontend_stats_t frontend_stats(const frontend_t* f) {
    return f->stats;
}

void frontend_shutdown(frontend_t* f) {
    ev_io_stop(f->desc.loop, &f->accept_io);
    close(f->fd);
    caller_t* next = NULL;
    for (caller_t* c = f->callers; c; c = next) {
        next = c->next;
        caller_free(c);
    }
    free(f);
}
