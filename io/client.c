#include "client.h"

#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>

#include "response_head.h"

#define DEFAULT_CONNECT_TIMEOUT_MS 1000L
#define HEADER_LINE_MAX_BYTES 1024

struct cw_client_t {
    struct ev_loop* loop;
    CURLM* multi;
    ev_timer timer;
    ev_prepare prepare;
    cw_call_t* open;      /* calls in progress */
    cw_call_t* cancelled; /* to be freed in on_prepare, outside of libcurl's callbacks */
    cw_call_t* resumed;   /* to be unpaused in on_prepare, outside of libcurl's callbacks */
};

struct cw_call_t {
    cw_client_t* client;
    CURL* easy;
    struct curl_slist* headers;
    cw_call_desc_t desc;
    bool sent, is_vetoed, is_head_notified, is_cancelled, is_paused, is_in_resumed;
    cw_response_head_t head;
    unsigned status;
    uint64_t body_bytes; /* received so far */
    cw_call_t* prev_open;
    cw_call_t* next_open;
    cw_call_t* next_cancelled;
    cw_call_t* next_resumed;
};

typedef struct socket_watcher_t {
    ev_io io;
    cw_client_t* client;
} socket_watcher_t;

/* -- curl and libev ------------------------------------------------------- */

static void call_free(cw_call_t* call) {
    for (cw_call_t** at = &call->client->resumed; call->is_in_resumed && *at; at = &(*at)->next_resumed) {
        if (*at == call) {
            *at = call->next_resumed;
            break;
        }
    }
    if (call->prev_open) {
        call->prev_open->next_open = call->next_open;
    } else {
        call->client->open = call->next_open;
    }
    if (call->next_open) {
        call->next_open->prev_open = call->prev_open;
    }
    curl_multi_remove_handle(call->client->multi, call->easy);
    curl_easy_cleanup(call->easy);
    curl_slist_free_all(call->headers);
    cw_response_head_shutdown(&call->head);
    free(call);
}

static void notify_head(cw_call_t* call) {
    if (call->is_head_notified) {
        return;
    }
    long status = 0;
    char* type = NULL;
    curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_getinfo(call->easy, CURLINFO_CONTENT_TYPE, &type);
    call->is_head_notified = true;
    call->status = (unsigned)status;
    if (call->desc.on_head) {
        call->desc.on_head(call->desc.user_data, call->status, type ? type : "");
    }
}

/* Why the response is not complete, "" if it is. */
static const char* failure_message(const cw_call_t* call, CURLcode code) {
    if (call->body_bytes > call->desc.max_body_bytes) {
        return "the body is too long";
    }
    const char* failure = cw_response_head_failure(&call->head, code);
    return failure[0] || cw_response_head_has_framing(&call->head)
               ? failure
               : "the response has no Content-Length or chunked framing: it may be truncated";
}

static void call_finish(cw_call_t* call, CURLcode code) {
    bool is_head_complete = code == CURLE_OK && call->head.is_complete;
    if (is_head_complete) {
        notify_head(call); /* a response without a body */
    }
    if (call->is_cancelled) {
        return;
    }
    bool has_framing = cw_response_head_has_framing(&call->head);
    cw_call_result_t result = {.sent = call->sent, .is_vetoed = call->is_vetoed, .status = call->status};
    result.is_complete = is_head_complete && has_framing;
    result.is_unframed = is_head_complete && !has_framing;
    result.message = failure_message(call, code);
    cw_call_desc_t desc = call->desc;
    call_free(call);
    desc.on_done(desc.user_data, &result);
}

static void collect_finished(cw_client_t* c) {
    int messages_left = 0;
    CURLMsg* msg = NULL;
    while ((msg = curl_multi_info_read(c->multi, &messages_left))) {
        if (msg->msg != CURLMSG_DONE) {
            continue;
        }
        cw_call_t* call = NULL;
        CURLcode code = msg->data.result;
        curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &call);
        if (!call->is_cancelled) {
            call_finish(call, code);
        }
    }
}

static void socket_action(cw_client_t* c, curl_socket_t fd, int flags) {
    int running = 0;
    curl_multi_socket_action(c->multi, fd, flags, &running);
    collect_finished(c);
}

static void on_socket(struct ev_loop* loop, ev_io* w, int events) {
    (void)loop;
    socket_watcher_t* watcher = (socket_watcher_t*)w;
    int flags = ((events & EV_READ) ? CURL_CSELECT_IN : 0) | ((events & EV_WRITE) ? CURL_CSELECT_OUT : 0);
    socket_action(watcher->client, w->fd, flags);
}

static void on_timer(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    socket_action(w->data, CURL_SOCKET_TIMEOUT, 0);
}

static int set_socket(CURL* easy, curl_socket_t fd, int what, void* user, void* socket_data) {
    (void)easy;
    cw_client_t* c = user;
    socket_watcher_t* watcher = socket_data;
    if (watcher) {
        ev_io_stop(c->loop, &watcher->io);
    }
    if (what == CURL_POLL_REMOVE) {
        free(watcher);
        curl_multi_assign(c->multi, fd, NULL);
        return 0;
    }
    if (!watcher) {
        watcher = calloc(1, sizeof(*watcher));
        if (!watcher) {
            abort();
        }
        watcher->client = c;
        curl_multi_assign(c->multi, fd, watcher);
    }
    int events = ((what & CURL_POLL_IN) ? EV_READ : 0) | ((what & CURL_POLL_OUT) ? EV_WRITE : 0);
    ev_io_init(&watcher->io, on_socket, fd, events);
    ev_io_start(c->loop, &watcher->io);
    return 0;
}

static int set_timer(CURLM* multi, long timeout_ms, void* user) {
    (void)multi;
    cw_client_t* c = user;
    ev_timer_stop(c->loop, &c->timer);
    if (timeout_ms >= 0) {
        ev_timer_set(&c->timer, (double)timeout_ms / 1000.0, 0.0);
        ev_timer_start(c->loop, &c->timer);
    }
    return 0;
}

/* Resumes and frees calls, which is not allowed inside libcurl's callbacks. */
static void on_prepare(struct ev_loop* loop, ev_prepare* w, int events) {
    (void)loop;
    (void)events;
    cw_client_t* c = w->data;
    while (c->resumed) {
        cw_call_t* call = c->resumed;
        c->resumed = call->next_resumed;
        call->is_in_resumed = false;
        if (!call->is_cancelled) {
            curl_easy_pause(call->easy, CURLPAUSE_CONT);
        }
    }
    while (c->cancelled) {
        cw_call_t* call = c->cancelled;
        c->cancelled = call->next_cancelled;
        call_free(call);
    }
}

cw_client_t* cw_client_setup(struct ev_loop* loop, uint32_t max_idle) {
    cw_client_t* c = calloc(1, sizeof(*c));
    if (!c) {
        abort();
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
    c->loop = loop;
    c->multi = curl_multi_init();
    curl_multi_setopt(c->multi, CURLMOPT_SOCKETFUNCTION, set_socket);
    curl_multi_setopt(c->multi, CURLMOPT_SOCKETDATA, c);
    curl_multi_setopt(c->multi, CURLMOPT_TIMERFUNCTION, set_timer);
    curl_multi_setopt(c->multi, CURLMOPT_TIMERDATA, c);
    curl_multi_setopt(c->multi, CURLMOPT_MAXCONNECTS, (long)(max_idle ? max_idle : 256));
    ev_timer_init(&c->timer, on_timer, 0.0, 0.0);
    ev_prepare_init(&c->prepare, on_prepare);
    c->timer.data = c->prepare.data = c;
    ev_prepare_start(loop, &c->prepare);
    return c;
}

void cw_client_shutdown(cw_client_t* c) {
    for (cw_call_t* call = c->open; call; call = call->next_open) {
        cw_call_cancel(call);
    }
    on_prepare(c->loop, &c->prepare, 0);
    ev_prepare_stop(c->loop, &c->prepare);
    curl_multi_cleanup(c->multi);
    ev_timer_stop(c->loop, &c->timer);
    free(c);
}

/* -- one call ------------------------------------------------------------- */

static int on_prereq(void* user, char* ip, char* local_ip, int port, int local_port) {
    (void)ip;
    (void)local_ip;
    (void)port;
    (void)local_port;
    cw_call_t* call = user;
    if (call->is_cancelled || (call->desc.on_sending && !call->desc.on_sending(call->desc.user_data))) {
        call->is_vetoed = true;
        return CURL_PREREQFUNC_ABORT;
    }
    call->sent = true;
    return CURL_PREREQFUNC_OK;
}

static size_t on_header(char* data, size_t size, size_t count, void* user) {
    cw_call_t* call = user;
    return call->is_cancelled ? 0 : cw_response_head_on_line(data, size, count, &call->head);
}

static size_t on_body(char* data, size_t size, size_t count, void* user) {
    cw_call_t* call = user;
    if (!call->is_cancelled) {
        notify_head(call);
    }
    if (call->is_cancelled) {
        return 0;
    }
    size_t bytes = size * count;
    if (bytes > call->desc.max_body_bytes - call->body_bytes) {
        call->body_bytes = call->desc.max_body_bytes + 1;
        return 0;
    }
    call->is_paused = call->desc.on_data && !call->desc.on_data(call->desc.user_data, data, bytes);
    call->body_bytes += call->is_paused ? 0 : bytes; /* a paused call gets the same bytes again */
    return call->is_paused ? CURL_WRITEFUNC_PAUSE : bytes;
}

static void set_body(cw_call_t* call) {
    const char* method = call->desc.method;
    if (call->desc.body && call->desc.size) {
        curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE, (long)call->desc.size);
        curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS, call->desc.body);
    } else if (method && strcmp(method, "POST") == 0) {
        curl_easy_setopt(call->easy, CURLOPT_POSTFIELDSIZE, 0L);
        curl_easy_setopt(call->easy, CURLOPT_POSTFIELDS, "");
    }
    if (method) {
        curl_easy_setopt(call->easy, CURLOPT_CUSTOMREQUEST, method);
    }
}

static void set_headers(cw_call_t* call) {
    call->headers = curl_slist_append(NULL, "Expect:");
    for (uint32_t i = 0; i < call->desc.header_count; i++) {
        char line[HEADER_LINE_MAX_BYTES];
        snprintf(line, sizeof(line), "%s: %s", call->desc.headers[i].name, call->desc.headers[i].value);
        call->headers = curl_slist_append(call->headers, line);
    }
    curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
    call->desc.headers = NULL;
}

cw_call_t* cw_client_call(cw_client_t* c, const cw_call_desc_t* desc) {
    cw_call_t* call = calloc(1, sizeof(*call));
    if (!call) {
        abort();
    }
    call->client = c;
    call->next_open = c->open;
    if (c->open) {
        c->open->prev_open = call;
    }
    c->open = call;
    call->desc = *desc;
    call->desc.max_body_bytes = desc->max_body_bytes ? desc->max_body_bytes : CW_CALL_BODY_MAX_BYTES;
    cw_response_head_setup(&call->head);
    call->easy = curl_easy_init();
    CURL* e = call->easy;
    long connect_timeout_ms = desc->connect_timeout_ms ? (long)desc->connect_timeout_ms : DEFAULT_CONNECT_TIMEOUT_MS;
    curl_easy_setopt(e, CURLOPT_URL, desc->url);
    curl_easy_setopt(e, CURLOPT_PRIVATE, call);
    curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
    curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, (long)desc->timeout_ms);
    curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, on_prereq);
    curl_easy_setopt(e, CURLOPT_PREREQDATA, call);
    curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(e, CURLOPT_HEADERDATA, call);
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, call);
    curl_easy_setopt(e, CURLOPT_NOPROXY, "*");
    /* libcurl resends a request by itself when a reused connection turns out dead. */
    curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, desc->use_new_connection ? 1L : 0L);
    set_body(call);
    set_headers(call);
    curl_multi_add_handle(c->multi, e);
    return call;
}

void cw_call_cancel(cw_call_t* call) {
    if (!call->is_cancelled) {
        call->is_cancelled = true;
        call->next_cancelled = call->client->cancelled;
        call->client->cancelled = call;
        ev_feed_event(call->client->loop, &call->client->prepare, EV_PREPARE);
    }
}

void cw_call_resume(cw_call_t* call) {
    if (call->is_paused && !call->is_in_resumed) {
        call->is_paused = false;
        call->is_in_resumed = true;
        call->next_resumed = call->client->resumed;
        call->client->resumed = call;
        ev_feed_event(call->client->loop, &call->client->prepare, EV_PREPARE);
    }
}

const char* cw_call_header(cw_call_t* call, const char* name) {
    struct curl_header* header = NULL;
    return curl_easy_header(call->easy, name, 0, CURLH_HEADER, -1, &header) == CURLHE_OK ? header->value : NULL;
}
