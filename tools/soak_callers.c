/*
    chalkway-soak-callers: simulates the callers of a soak. Each caller has one keep-alive connection.

    A caller queries a host's lookup address for the list of hosts, connects to a random one, and sends one request
    after the other with a random think time between them. It repeats the lookup when its connection has closed.
    Requests and responses are written to standard output, one line each, in the format of tools/soak.h. A 503 with
    Retry-After is retried once after that time. SIGUSR1 multiplies the request rate by BURST_FACTOR until SIGUSR2.

    With --deadly N some requests carry one of N queries of death, bodies that crash every upstream which begins to
    run them. Each body is sent about QOD_PER_S times per second for QOD_DURATION_S, one body after the other. The
    bodies of all other prompts differ from one another; plain calls have no body, so all of them are the same request.
*/
#include <argp.h>
#include <inttypes.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "../io/address.h"
#include "../io/client.h"
#include "../io/lines.h"
#include "../io/message.h"
#include "../io/stream.h"
#include "../standins/standin.h"
#include "soak.h"

#define DEADLINE_FIELD "Chalkway-Deadline-Ms"
#define OUTPUT_BUFFER_BYTES 16777216
#define QUARANTINE_TEXT "servers ended under it" /* in the response to a quarantined request */
#define MAX_CALLERS 2000
#define MAX_HOSTS 64
#define LOOKUP_TIMEOUT_MS 1000
#define RECONNECT_DELAY_MS 200 /* after a failed lookup or a closed connection */
#define ABANDON_ONE_IN 25      /* one request in this many is abandoned early */
#define ABANDON_MIN_MS 5
#define ABANDON_SPREAD_MS 200
#define RESPONSE_TIMEOUT_MS 12000 /* a caller abandons a request after this time at the latest */
#define BURST_FACTOR 2.5          /* times the usual request rate */
#define QOD_PER_S 3.0
#define QOD_DURATION_S 12

typedef struct callers_t callers_t;

typedef struct caller_t {
    callers_t* parent;
    cw_stream_t stream;
    cw_message_t response;
    bool is_open, in_body;
    char host[CW_ADDR_TEXT_SIZE];
    /* the current request */
    bool is_busy;
    char id[20];
    int kind;
    uint32_t tokens;
    char body_text[24]; /* request body, "": none */
    int64_t sent_ms, first_byte_ms;
    cw_buffer_t body;
    bool has_retried;
    double retry_s; /* delay of the pending retry, 0: none */
    ev_timer think_timer, abandon_timer;
    char lookup[1024];
} caller_t;

struct callers_t {
    struct ev_loop* loop;
    cw_lines_t lines;
    cw_client_t* client;
    caller_t callers[MAX_CALLERS];
    uint32_t count;
    const char* hosts[MAX_HOSTS]; /* lookup addresses of the hosts */
    uint32_t host_count;
    double requests_per_s, rate_factor;
    uint32_t qod_body_count;
    int64_t start_ms;
    uint64_t seed, draw_count;
    ev_signal burst_begin, burst_end, term;
    bool is_ending;
};

static uint64_t next_random(callers_t* c) {
    return cw_mix(c->seed, ++c->draw_count);
}

static double next_random_unit(callers_t* c) {
    return ((double)(next_random(c) >> 11) + 0.5) / 9007199254740992.0;
}

static void record_event(callers_t* c, const char* what, const char* rest) {
    char line[240];
    snprintf(line, sizeof(line), "C %" PRId64 " %s %s", standin_now_ms(), what, rest);
    cw_lines_add(&c->lines, line);
}

static void schedule_next(caller_t* w, double s) {
    ev_timer_stop(w->parent->loop, &w->think_timer);
    ev_timer_set(&w->think_timer, s, 0.0);
    ev_timer_start(w->parent->loop, &w->think_timer);
}

static double random_think_time_s(callers_t* c) {
    return -log(next_random_unit(c)) * c->count / (c->requests_per_s * c->rate_factor);
}

/* -- requests ------------------------------------------------------------- */

/* Returns whether the response has the right body: all events in order, or the text that is expected for the call. */
static bool is_body_correct(const caller_t* w) {
    const soak_kind_t* kind = &soak_kinds[w->kind];
    char expected[100];
    const char* at = cw_buffer_text(&w->body);
    if (!kind->tokens_max) {
        snprintf(expected, sizeof(expected), "ran %s", w->id);
        return strcmp(at, expected) == 0;
    }
    for (uint32_t k = 1; k <= kind->events; k++) {
        int n = snprintf(expected, sizeof(expected), "id: %u\ndata: %016llx\n\n", k,
                         (unsigned long long)XXH64(w->id, strlen(w->id), k));
        if (strncmp(at, expected, (size_t)n) != 0) {
            return false;
        }
        at += n;
    }
    return !*at;
}

static void finish(caller_t* w, unsigned status, bool is_response_complete) {
    char rest[100];
    const char* retry = is_response_complete && status == 503 ? cw_message_field(&w->response, "Retry-After") : NULL;
    w->is_busy = false;
    ev_timer_stop(w->parent->loop, &w->abandon_timer);
    bool is_quarantined = status == 503 && strstr(cw_buffer_text(&w->body), QUARANTINE_TEXT);
    snprintf(rest, sizeof(rest), "%s %u %d %d %" PRId64 " %d", w->id, status, is_response_complete,
             is_response_complete && is_body_correct(w), w->first_byte_ms ? w->first_byte_ms - w->sent_ms : 0,
             is_quarantined);
    record_event(w->parent, "done", rest);
    cw_buffer_free(&w->body);
    w->retry_s = retry && !w->has_retried ? strtod(retry, NULL) : 0;
    w->has_retried = w->retry_s > 0;
    schedule_next(w, w->retry_s > 0 ? w->retry_s : random_think_time_s(w->parent));
}

static void close_connection(caller_t* w) {
    cw_stream_close(&w->stream);
    w->is_open = false;
}

static void on_head(void* owner) {
    (void)owner;
}

static void on_body(void* owner, const char* data, size_t size) {
    caller_t* w = owner;
    w->first_byte_ms = w->first_byte_ms ? w->first_byte_ms : standin_now_ms();
    cw_buffer_add(&w->body, data, size);
}

static const cw_message_handlers_t response_handlers = {.on_head = on_head, .on_body = on_body};

static void on_data(void* owner, const char* data, size_t size) {
    caller_t* w = owner;
    if (!w->is_busy) {
        close_connection(w); /* data without a request */
        return;
    }
    cw_message_parse(&w->response, data, size);
    if (w->response.state == CW_MESSAGE_MALFORMED) {
        close_connection(w);
        finish(w, 0, false);
    } else if (w->response.state == CW_MESSAGE_COMPLETE) {
        bool is_keep_alive = w->response.keep_alive;
        finish(w, w->response.status, true);
        cw_message_reset(&w->response);
        if (!is_keep_alive) {
            close_connection(w);
        }
    }
}

static void on_end(void* owner, cw_stream_end_reason_t end) {
    caller_t* w = owner;
    bool in_response = w->response.state == CW_MESSAGE_HEAD || w->response.state == CW_MESSAGE_BODY;
    w->is_open = false;
    if (w->is_busy && end != CW_STREAM_CONNECT_FAILED) {
        finish(w, in_response ? w->response.status : 0, false);
    } else if (!w->is_busy) {
        schedule_next(w, RECONNECT_DELAY_MS / 1000.0);
    }
    cw_message_reset(&w->response);
}

/* Returns the number of the query of death to send now, or 0 for an ordinary request. */
static uint32_t next_query_of_death(callers_t* c) {
    uint32_t body = (uint32_t)((standin_now_ms() - c->start_ms) / 1000 / QOD_DURATION_S) + 1;
    return body <= c->qod_body_count && next_random_unit(c) < QOD_PER_S / (c->requests_per_s * c->rate_factor) ? body
                                                                                                               : 0;
}

static void choose_query_of_death(caller_t* w, uint32_t body) {
    w->kind = soak_find_kind(body % 3 ? "short" : "get");
    w->tokens = soak_kinds[w->kind].tokens_min;
    snprintf(w->body_text, sizeof(w->body_text), "deadly-%u", body);
}

static void choose_request(caller_t* w) {
    callers_t* c = w->parent;
    uint32_t qod_body = next_query_of_death(c);
    if (qod_body) {
        choose_query_of_death(w, qod_body);
        return;
    }
    double at = next_random_unit(c);
    w->kind = 0;
    while (w->kind < SOAK_KINDS - 1 && at >= soak_kinds[w->kind].share) {
        at -= soak_kinds[w->kind++].share;
    }
    const soak_kind_t* kind = &soak_kinds[w->kind];
    double span = kind->tokens_max ? log((double)kind->tokens_max / kind->tokens_min) : 0;
    w->tokens =
        kind->tokens_max ? (uint32_t)(kind->tokens_min * exp(span * next_random_unit(c) * next_random_unit(c))) : 0;
    w->body_text[0] = 0;
    if (kind->tokens_max) {
        snprintf(w->body_text, sizeof(w->body_text), "%016" PRIx64, next_random(c));
    }
}

static void send_request(caller_t* w) {
    callers_t* c = w->parent;
    const soak_kind_t* kind = &soak_kinds[w->kind];
    char text[400];
    char rest[120];
    snprintf(w->id, sizeof(w->id), "%016" PRIx64, next_random(c));
    int n =
        snprintf(text, sizeof(text), "POST %sx HTTP/1.1\r\nHost: soak.example\r\nChalkway-Request-Id: %s\r\n%s: %u\r\n",
                 kind->path, w->id, DEADLINE_FIELD, kind->timeout_ms);
    if (kind->tokens_max) {
        n += snprintf(text + n, sizeof(text) - (size_t)n, "Chalkway-Tokens: %u,%u\r\n", w->tokens, kind->events);
    }
    n += snprintf(text + n, sizeof(text) - (size_t)n, "Content-Length: %zu\r\n\r\n%s", strlen(w->body_text),
                  w->body_text);
    w->is_busy = true;
    w->first_byte_ms = 0;
    w->sent_ms = standin_now_ms();
    bool is_query_of_death = strncmp(w->body_text, "deadly", strlen("deadly")) == 0;
    snprintf(rest, sizeof(rest), "%s %s %s %u %s", w->id, kind->name, w->host, w->tokens,
             is_query_of_death ? w->body_text : "-");
    record_event(c, "sent", rest);
    cw_stream_write(&w->stream, text, (size_t)n);
    cw_stream_flush(&w->stream);
    bool abandons = next_random(c) % ABANDON_ONE_IN == 0;
    double abandon_s =
        (abandons ? ABANDON_MIN_MS + next_random_unit(c) * ABANDON_SPREAD_MS : RESPONSE_TIMEOUT_MS) / 1000.0;
    ev_timer_stop(c->loop, &w->abandon_timer);
    ev_timer_set(&w->abandon_timer, abandon_s, 0.0);
    ev_timer_start(c->loop, &w->abandon_timer);
}

/* The caller abandons its request and closes the connection. */
static void on_abandon(struct ev_loop* loop, ev_timer* t, int events) {
    (void)loop;
    (void)events;
    caller_t* w = t->data;
    record_event(w->parent, "left", w->id);
    w->is_busy = w->has_retried = false;
    cw_buffer_free(&w->body);
    cw_message_reset(&w->response);
    close_connection(w);
    schedule_next(w, random_think_time_s(w->parent));
}

/* -- connections ---------------------------------------------------------- */

static void on_open(void* owner) {
    send_request(owner);
}

static const cw_stream_handlers_t stream_handlers = {.on_open = on_open, .on_data = on_data, .on_end = on_end};

/* Picks a random one of the addresses "A:P" in the response of the lookup. Returns false if there is none. */
static bool pick_host(caller_t* w) {
    char* found[MAX_HOSTS];
    uint32_t count = 0;
    char* at = strchr(w->lookup, '[');
    for (at = at ? strchr(at, '"') : NULL; at && count < MAX_HOSTS; at = strchr(at, '"')) {
        char* end = strchr(at + 1, '"');
        if (!end || !strchr(at, ']') || strchr(at, ']') < at) {
            break;
        }
        *end = 0;
        if (strchr(at + 1, ':') && strchr(at + 1, '.')) {
            found[count++] = at + 1;
        }
        at = end + 1;
    }
    if (!count) {
        return false;
    }
    cw_copy(w->host, sizeof(w->host), found[next_random(w->parent) % count]);
    return true;
}

static void on_lookup_done(void* user, const cw_call_result_t* result) {
    caller_t* w = user;
    struct sockaddr_in address;
    bool found =
        result->whole && result->status == 200 && pick_host(w) && cw_addr_parse(w->host, &address, NULL) == CW_OK;
    if (!found || cw_stream_connect(&w->stream, w->parent->loop, &address, &stream_handlers, w) != CW_OK) {
        schedule_next(w, RECONNECT_DELAY_MS / 1000.0);
        return;
    }
    w->is_open = true;
}

static bool on_lookup_data(void* user, const char* data, size_t size) {
    caller_t* w = user;
    size_t have = strlen(w->lookup);
    strncat(w->lookup, data, size < sizeof(w->lookup) - have - 1 ? size : 0);
    return true;
}

static void look_up(caller_t* w) {
    callers_t* c = w->parent;
    char url[128];
    snprintf(url, sizeof(url), "http://%s/v1/lookup?hall=a", c->hosts[next_random(c) % c->host_count]);
    w->lookup[0] = 0;
    cw_client_call(c->client, &(cw_call_desc_t){.url = url,
                                                .connect_timeout_ms = LOOKUP_TIMEOUT_MS,
                                                .timeout_ms = LOOKUP_TIMEOUT_MS,
                                                .use_new_connection = true,
                                                .on_data = on_lookup_data,
                                                .on_done = on_lookup_done,
                                                .user_data = w});
}

static void on_think_end(struct ev_loop* loop, ev_timer* t, int events) {
    (void)loop;
    (void)events;
    caller_t* w = t->data;
    if (w->parent->is_ending || w->is_busy) {
        return;
    }
    if (w->retry_s <= 0) {
        choose_request(w);
    }
    w->retry_s = 0;
    if (w->is_open) {
        send_request(w);
    } else {
        look_up(w);
    }
}

/* -- start ---------------------------------------------------------------- */

static void on_burst_begin(struct ev_loop* loop, ev_signal* s, int events) {
    (void)loop;
    (void)events;
    ((callers_t*)s->data)->rate_factor = BURST_FACTOR;
}

static void on_burst_end(struct ev_loop* loop, ev_signal* s, int events) {
    (void)loop;
    (void)events;
    ((callers_t*)s->data)->rate_factor = 1;
}

/* The first SIGTERM stops new requests, so that running ones may complete; the second ends the program. */
static void on_term(struct ev_loop* loop, ev_signal* s, int events) {
    (void)events;
    callers_t* c = s->data;
    if (c->is_ending) {
        ev_break(loop, EVBREAK_ALL);
    }
    c->is_ending = true;
}

static void watch_signal(callers_t* c, ev_signal* s, int number, void (*handler)(struct ev_loop*, ev_signal*, int)) {
    ev_signal_init(s, handler, number);
    s->data = c;
    ev_signal_start(c->loop, s);
}

static error_t parse_option(int key, char* arg, struct argp_state* state) {
    callers_t* c = state->input;
    switch (key) {
        case 'n':
            c->count = (uint32_t)strtoul(arg, NULL, 10);
            return c->count && c->count <= MAX_CALLERS ? 0 : EINVAL;
        case 'r':
            c->requests_per_s = strtod(arg, NULL);
            return 0;
        case 's':
            c->seed = strtoull(arg, NULL, 10);
            return 0;
        case 'd':
            c->qod_body_count = (uint32_t)strtoul(arg, NULL, 10);
            return 0;
        case ARGP_KEY_ARG:
            if (c->host_count == MAX_HOSTS) {
                return EINVAL;
            }
            c->hosts[c->host_count++] = arg;
            return 0;
        default:
            return ARGP_ERR_UNKNOWN;
    }
}

int main(int argc, char** argv) {
    static const struct argp_option options[] = {
        {"callers", 'n', "N", 0, "number of callers, default 60", 0},
        {"rate", 'r', "N", 0, "requests per second of all callers together, default 100", 0},
        {"seed", 's', "N", 0, "seed of the random choices, default 1", 0},
        {"deadly", 'd', "N", 0, "number of bodies that crash upstreams, default 0", 0},
        {0},
    };
    const struct argp argp = {
        .options = options, .parser = parse_option, .args_doc = "LOOKUP...", .doc = "Simulated callers of a soak."};
    static callers_t callers = {.count = 60, .requests_per_s = 100, .rate_factor = 1, .seed = 1};
    callers_t* c = &callers;
    argp_parse(&argp, argc, argv, 0, NULL, c);
    signal(SIGPIPE, SIG_IGN);
    c->loop = ev_default_loop(0);
    c->start_ms = standin_now_ms();
    c->client = cw_client_setup(c->loop, MAX_HOSTS);
    printf("ready\n");
    fflush(stdout);
    cw_lines_setup(&c->lines, c->loop, 1, OUTPUT_BUFFER_BYTES);
    watch_signal(c, &c->burst_begin, SIGUSR1, on_burst_begin);
    watch_signal(c, &c->burst_end, SIGUSR2, on_burst_end);
    watch_signal(c, &c->term, SIGTERM, on_term);
    for (uint32_t i = 0; i < c->count; i++) {
        caller_t* w = &c->callers[i];
        w->parent = c;
        w->stream.fd = -1;
        cw_message_setup(&w->response, CW_MESSAGE_RESPONSE, &response_handlers, w);
        ev_timer_init(&w->think_timer, on_think_end, 0.0, 0.0);
        ev_timer_init(&w->abandon_timer, on_abandon, 0.0, 0.0);
        w->think_timer.data = w->abandon_timer.data = w;
        schedule_next(w, random_think_time_s(c));
    }
    ev_run(c->loop, 0);
    cw_lines_shutdown(&c->lines);
    return 0;
}
