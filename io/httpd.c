#include "httpd.h"

#include <errno.h>
#include <microhttpd.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "address.h"
#include "buffer.h"

#define STREAM_BLOCK_BYTES 16384
#define STREAM_COMPACT_BYTES 65536 /* once this many bytes of out are taken, the rest is moved to the front */

struct cw_httpd_t {
    cw_httpd_desc_t desc;
    struct MHD_Daemon* daemon;
    char address[CW_ADDR_TEXT_SIZE];
    ev_io epoll_io;
    ev_timer timer;
    ev_prepare prepare;
    bool is_run_due; /* connections were resumed: MHD_run has to be called before the loop blocks */
    uint32_t active_exchanges;
    uint32_t unsent_responses; /* exchanges that are released and not freed yet */
    cw_exchange_t* exchanges;  /* active ones */
};

struct cw_exchange_t {
    cw_httpd_t* httpd;
    struct MHD_Connection* connection;
    char* method;
    char* path;
    cw_buffer_t body;
    cw_buffer_t out;
    size_t out_taken;              /* bytes of out that libmicrohttpd has taken */
    struct MHD_Response* response; /* not yet queued */
    unsigned status;
    bool is_suspended;
    bool is_handed_over; /* on_request was called */
    bool is_released;    /* the user has replied or been notified that the caller closed: no callback follows */
    bool is_body_too_long;
    bool ends_with_connection; /* a streamed response has no chunks: the caller has HTTP/1.0, or it was asked for */
    bool is_ended, is_complete;
    ev_io caller_io;
    void* data;
    cw_exchange_t* prev;
    cw_exchange_t* next;
};

/* -- running libmicrohttpd ------------------------------------------------ */

static void run_daemon(cw_httpd_t* h) {
    h->is_run_due = false;
    MHD_run(h->daemon);
    MHD_UNSIGNED_LONG_LONG timeout = 0;
    if (MHD_get_timeout(h->daemon, &timeout) == MHD_YES) {
        ev_timer_stop(h->desc.loop, &h->timer);
        ev_timer_set(&h->timer, (double)timeout / 1000.0, 0.0);
        ev_timer_start(h->desc.loop, &h->timer);
    }
}

static void on_epoll(struct ev_loop* loop, ev_io* w, int events) {
    (void)loop;
    (void)events;
    run_daemon(w->data);
}

static void on_timer(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    run_daemon(w->data);
}

static void on_prepare(struct ev_loop* loop, ev_prepare* w, int events) {
    (void)loop;
    (void)events;
    cw_httpd_t* h = w->data;
    while (h->is_run_due) {
        run_daemon(h);
    }
}

static void resume_connection(cw_exchange_t* x) {
    if (x->is_suspended) {
        x->is_suspended = false;
        MHD_resume_connection(x->connection);
        x->httpd->is_run_due = true;
        ev_feed_event(x->httpd->desc.loop, &x->httpd->prepare, EV_PREPARE);
    }
}

/* -- exchanges ------------------------------------------------------------ */

static void exchange_release(cw_exchange_t* x) {
    x->httpd->unsent_responses += !x->is_released;
    x->is_released = true;
}

static void exchange_free(cw_exchange_t* x) {
    ev_io_stop(x->httpd->desc.loop, &x->caller_io);
    if (x->response) {
        MHD_destroy_response(x->response);
    }
    if (x->prev) {
        x->prev->next = x->next;
    } else {
        x->httpd->exchanges = x->next;
    }
    if (x->next) {
        x->next->prev = x->prev;
    }
    x->httpd->active_exchanges--;
    x->httpd->unsent_responses -= x->is_released;
    free(x->method);
    free(x->path);
    cw_buffer_free(&x->body);
    cw_buffer_free(&x->out);
    free(x);
}

static void set_response(cw_exchange_t* x, struct MHD_Response* response, unsigned status, const cw_header_t* headers,
                         uint32_t count) {
    for (uint32_t i = 0; i < count; i++) {
        MHD_add_response_header(response, headers[i].name, headers[i].value);
    }
    x->response = response;
    x->status = status;
    resume_connection(x);
}

void cw_exchange_reply(cw_exchange_t* x, unsigned status, const cw_header_t* headers, uint32_t count, const void* body,
                       size_t size) {
    exchange_release(x);
    ev_io_stop(x->httpd->desc.loop, &x->caller_io);
    struct MHD_Response* response = MHD_create_response_from_buffer(size, (void*)body, MHD_RESPMEM_MUST_COPY);
    set_response(x, response, status, headers, count);
}

static int caller_socket(const cw_exchange_t* x) {
    const union MHD_ConnectionInfo* info = MHD_get_connection_info(x->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    return info ? info->connect_fd : -1;
}

/* Makes the truncation visible to the caller, also when libmicrohttpd has sent nothing yet. Without chunks a close
   would look like the end of the response, so the connection is reset. */
static void break_connection(const cw_exchange_t* x) {
    static const struct sockaddr none = {.sa_family = AF_UNSPEC};
    int fd = caller_socket(x);
    if (x->ends_with_connection) {
        (void)connect(fd, &none, sizeof(none)); /* resets: the socket is then without a peer */
    } else {
        shutdown(fd, SHUT_RDWR);
    }
}

static ssize_t read_stream(void* cls, uint64_t pos, char* buf, size_t max) {
    (void)pos;
    cw_exchange_t* x = cls;
    size_t pending = x->out.size - x->out_taken;
    if (!pending) {
        if (x->is_ended && x->is_complete) {
            return MHD_CONTENT_READER_END_OF_STREAM;
        }
        if (x->is_ended) {
            break_connection(x);
            return MHD_CONTENT_READER_END_WITH_ERROR;
        }
        x->is_suspended = true;
        MHD_suspend_connection(x->connection);
        return 0;
    }
    size_t n = pending < max ? pending : max;
    memcpy(buf, x->out.data + x->out_taken, n);
    x->out_taken += n;
    if (n == pending && !x->is_released && x->httpd->desc.on_drained) {
        x->httpd->desc.on_drained(x, x->httpd->desc.user_data);
    }
    return (ssize_t)n;
}

void cw_exchange_stream(cw_exchange_t* x, unsigned status, const cw_header_t* headers, uint32_t count) {
    set_response(x, MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, read_stream, x, NULL),
                 status, headers, count);
}

void cw_exchange_stream_unframed(cw_exchange_t* x, unsigned status, const cw_header_t* headers, uint32_t count) {
    struct MHD_Response* response =
        MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, read_stream, x, NULL);
    MHD_set_response_options(response, MHD_RF_HTTP_1_0_COMPATIBLE_STRICT, MHD_RO_END);
    x->ends_with_connection = true;
    set_response(x, response, status, headers, count);
}

size_t cw_exchange_push(cw_exchange_t* x, const void* data, size_t size) {
    if (x->out_taken && (x->out_taken == x->out.size || x->out_taken > STREAM_COMPACT_BYTES)) {
        cw_buffer_consume(&x->out, x->out_taken);
        x->out_taken = 0;
    }
    cw_buffer_add(&x->out, data, size);
    resume_connection(x);
    return cw_exchange_pending(x);
}

size_t cw_exchange_pending(const cw_exchange_t* x) {
    return x->out.size - x->out_taken;
}

void cw_exchange_finish(cw_exchange_t* x, bool is_complete) {
    exchange_release(x);
    x->is_ended = true;
    x->is_complete = is_complete;
    ev_io_stop(x->httpd->desc.loop, &x->caller_io);
    resume_connection(x);
}

static void notify_caller_closed(cw_exchange_t* x) {
    if (x->is_handed_over && !x->is_released) {
        exchange_release(x);
        if (x->httpd->desc.on_caller_closed) {
            x->httpd->desc.on_caller_closed(x, x->httpd->desc.user_data);
        }
    }
}

/* The caller's socket became readable before the response was complete: end of file or an error means that the caller
   closed the connection. */
static void on_caller_socket(struct ev_loop* loop, ev_io* w, int events) {
    (void)events;
    cw_exchange_t* x = w->data;
    char byte;
    ssize_t n = recv(w->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (n < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    ev_io_stop(loop, w);
    if (n > 0) {
        return; /* a pipelined request */
    }
    bool streaming = x->status != 0;
    notify_caller_closed(x);
    if (streaming) {
        cw_exchange_finish(x, false);
    } else {
        cw_exchange_reply(x, MHD_HTTP_SERVICE_UNAVAILABLE, NULL, 0, "", 0);
    }
}

static void watch_caller(cw_exchange_t* x) {
    int fd = caller_socket(x);
    if (fd >= 0 && !x->is_released) {
        ev_io_init(&x->caller_io, on_caller_socket, fd, EV_READ);
        x->caller_io.data = x;
        ev_io_start(x->httpd->desc.loop, &x->caller_io);
    }
}

/* -- libmicrohttpd callbacks ---------------------------------------------- */

static cw_exchange_t* exchange_new(cw_httpd_t* h, struct MHD_Connection* connection, const char* url,
                                   const char* method, const char* version) {
    cw_exchange_t* x = calloc(1, sizeof(*x));
    if (!x) {
        abort();
    }
    x->httpd = h;
    x->connection = connection;
    x->method = strdup(method);
    x->path = strdup(url);
    x->ends_with_connection = strcmp(version, MHD_HTTP_VERSION_1_0) == 0;
    ev_io_init(&x->caller_io, on_caller_socket, -1, EV_READ);
    h->active_exchanges++;
    x->next = h->exchanges;
    if (h->exchanges) {
        h->exchanges->prev = x;
    }
    h->exchanges = x;
    const char* length = MHD_lookup_connection_value(connection, MHD_HEADER_KIND, "Content-Length");
    x->is_body_too_long = length && strtoull(length, NULL, 10) > h->desc.max_body_bytes;
    return x;
}

static void reply_too_long(cw_exchange_t* x) {
    static const char text[] = "{\"error\":{\"code\":\"body-too-long\",\"step\":\"read-body\",\"peer\":\"\","
                               "\"message\":\"the body is longer than this server takes\"}}";
    const cw_header_t headers[] = {{"Content-Type", "application/json"}, {"Chalkway-Outcome", "not-run"}};
    cw_exchange_reply(x, MHD_HTTP_CONTENT_TOO_LARGE, headers, 2, text, sizeof(text) - 1);
}

static enum MHD_Result queue_response(cw_exchange_t* x) {
    struct MHD_Response* response = x->response;
    x->response = NULL;
    enum MHD_Result result = MHD_queue_response(x->connection, x->status, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result on_access(void* cls, struct MHD_Connection* connection, const char* url, const char* method,
                                 const char* version, const char* upload, size_t* upload_size, void** con_cls) {
    cw_httpd_t* h = cls;
    cw_exchange_t* x = *con_cls;
    if (!x) {
        *con_cls = x = exchange_new(h, connection, url, method, version);
        if (x->is_body_too_long) {
            reply_too_long(x);
            return queue_response(x);
        }
        return MHD_YES;
    }
    if (*upload_size) {
        x->is_body_too_long = x->is_body_too_long || x->body.size + *upload_size > h->desc.max_body_bytes;
        if (!x->is_body_too_long) {
            cw_buffer_add(&x->body, upload, *upload_size);
        }
        *upload_size = 0;
        return MHD_YES;
    }
    if (x->is_body_too_long && !x->response) {
        reply_too_long(x);
    }
    if (!x->response && !x->is_handed_over) {
        x->is_handed_over = true;
        h->desc.on_request(x, h->desc.user_data);
        watch_caller(x);
    }
    if (x->response) {
        return queue_response(x);
    }
    x->is_suspended = true;
    MHD_suspend_connection(connection);
    return MHD_YES;
}

static void on_completed(void* cls, struct MHD_Connection* connection, void** con_cls,
                         enum MHD_RequestTerminationCode code) {
    (void)cls;
    (void)connection;
    (void)code;
    cw_exchange_t* x = *con_cls;
    if (x) {
        notify_caller_closed(x);
        exchange_free(x);
        *con_cls = NULL;
    }
}

/* -- setup ---------------------------------------------------------------- */

static cw_httpd_desc_t desc_defaults(const cw_httpd_desc_t* desc) {
    cw_httpd_desc_t d = *desc;
    d.max_body_bytes = d.max_body_bytes ? d.max_body_bytes : (size_t)1 << 20;
    d.max_connections = d.max_connections ? d.max_connections : 2000;
    d.idle_timeout_s = d.idle_timeout_s ? d.idle_timeout_s : 60;
    return d;
}

cw_httpd_t* cw_httpd_setup(const cw_httpd_desc_t* desc, cw_error_t* err) {
    cw_httpd_t* h = calloc(1, sizeof(*h));
    if (!h) {
        abort();
    }
    h->desc = desc_defaults(desc);
    int fd = cw_addr_listen(h->desc.address, h->address, err);
    if (fd < 0) {
        free(h);
        return NULL;
    }
    h->daemon = MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_TURBO, 0, NULL, NULL, on_access, h,
                                 MHD_OPTION_LISTEN_SOCKET, fd, MHD_OPTION_CONNECTION_LIMIT, h->desc.max_connections,
                                 MHD_OPTION_PER_IP_CONNECTION_LIMIT, h->desc.max_connections_per_ip,
                                 MHD_OPTION_CONNECTION_TIMEOUT, h->desc.idle_timeout_s, MHD_OPTION_NOTIFY_COMPLETED,
                                 on_completed, h, MHD_OPTION_END);
    const union MHD_DaemonInfo* info = h->daemon ? MHD_get_daemon_info(h->daemon, MHD_DAEMON_INFO_EPOLL_FD) : NULL;
    if (!info) {
        cw_fail(err, CW_ERR_IO, "listen", h->desc.address, "libmicrohttpd did not start");
        close(fd);
        free(h);
        return NULL;
    }
    ev_io_init(&h->epoll_io, on_epoll, info->epoll_fd, EV_READ);
    ev_timer_init(&h->timer, on_timer, 0.0, 0.0);
    ev_prepare_init(&h->prepare, on_prepare);
    h->epoll_io.data = h->timer.data = h->prepare.data = h;
    ev_io_start(h->desc.loop, &h->epoll_io);
    ev_prepare_start(h->desc.loop, &h->prepare);
    return h;
}

void cw_httpd_shutdown(cw_httpd_t* h) {
    for (cw_exchange_t* x = h->exchanges; x; x = x->next) {
        exchange_release(x);  /* the user may be gone: no callback follows */
        resume_connection(x); /* libmicrohttpd aborts the process if it is stopped with suspended connections */
    }
    ev_io_stop(h->desc.loop, &h->epoll_io);
    ev_timer_stop(h->desc.loop, &h->timer);
    ev_prepare_stop(h->desc.loop, &h->prepare);
    MHD_stop_daemon(h->daemon);
    free(h);
}

const char* cw_httpd_address(const cw_httpd_t* h) {
    return h->address;
}

uint32_t cw_httpd_active_exchanges(const cw_httpd_t* h) {
    return h->active_exchanges;
}

uint32_t cw_httpd_unsent_responses(const cw_httpd_t* h) {
    return h->unsent_responses;
}

const char* cw_exchange_method(const cw_exchange_t* x) {
    return x->method;
}

const char* cw_exchange_path(const cw_exchange_t* x) {
    return x->path;
}

const char* cw_exchange_header(cw_exchange_t* x, const char* name) {
    return MHD_lookup_connection_value(x->connection, MHD_HEADER_KIND, name);
}

const char* cw_exchange_arg(cw_exchange_t* x, const char* name) {
    return MHD_lookup_connection_value(x->connection, MHD_GET_ARGUMENT_KIND, name);
}

const char* cw_exchange_body(const cw_exchange_t* x, size_t* size) {
    if (size) {
        *size = x->body.size;
    }
    return cw_buffer_text(&x->body);
}

void cw_exchange_set_data(cw_exchange_t* x, void* data) {
    x->data = data;
}

void* cw_exchange_data(const cw_exchange_t* x) {
    return x->data;
}
