/*
    chalkway-soak-callers: simulates the callers of a soak. Each caller has one keep-alive connection.

    A caller queries a host's lookup address for the list of hosts, connects to a random one, and sends one request
    after the other with a random think time between them. It repeats the lookup when its connection has closed.
    Requests and responses are written to standard output, one line each, in the format of tools/soak.h. A 503 with
    Retry-After is retried once after that time. SIGUSR1 multiplies the request rate by BURST_FACTOR until SIGUSR2.

    With --deadly N some requests carry one of N queries of death, bodies that crash every upstream which begins to
    run them. Each body is sent about QOD_PER_S times per second for QOD_DURATION_S, one body after the other. The
    bodies of all other prompts differ from one another; plain calls have no body, so all of them are the same request.

    Prompts have three parts: one that many share, one that some share, and their own. With --deadly-parts N the second
    part of some prompts, which have nothing else in common, is one of N parts that crash upstreams in the same way.
*/
#include <argp.h>
#include <inttypes.h>
#include <math.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../io/address.h"
#include "../io/client.h"
#include "../io/lines.h"
#include "../io/message.h"
#include "../io/stream.h"
#include "../standins/standin.h"
#include "soak.h"
#include "soak_qod.h"
#include "soak_streams.h"

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
#define RESUME_ATTEMPTS_MAX 3     /* attempts to resume a stream that was broken off */
#define RESUME_DELAY_S 0.02
#define QOD_PER_S 3.0
#define QOD_DURATION_S 12
#define POPULAR_PARTS 4 /* first parts of prompts */
#define SHARED_PARTS 40 /* second parts of prompts */
#define FIRST_PART_TOKENS 120
#define SECOND_PART_TOKENS 80

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
    char qod_name[24];  /* name of the query of death, "": an ordinary request */
    char body_text[24]; /* request body, "": none */
    char parts[80];     /* of the prompt, "": none */
    int64_t sent_ms, first_byte_ms;
    cw_buffer_t body;
    /* a stream, over all requests for it */
    uint32_t event_count;     /* its last complete event */
    bool is_out_of_order;     /* an event did not follow the one before it, or no upstream sends it */
    bool is_cut_in_event;     /* the response ended inside an event */
    char resumes[20];         /* id of the request that began it, "": it was not resumed */
    uint32_t resume_attempts; /* attempts to resume it so far */
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
    uint32_t qod_body_count, qod_part_count;
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

static void record_event(callers_t* c, const char* what, const char* fields) {
    char line[240];
    snprintf(line, sizeof(line), "C %" PRId64 " %s %s", standin_now_ms(), what, fields);
    cw_lines_add(&c->lines, line);
}

static void schedule_next(caller_t* caller, double s) {
    ev_timer_stop(caller->parent->loop, &caller->think_timer);
    ev_timer_set(&caller->think_timer, s, 0.0);
    ev_timer_start(caller->parent->loop, &caller->think_timer);
}

static double random_think_time_s(callers_t* c) {
    return -log(next_random_unit(c)) * c->count / (c->requests_per_s * c->rate_factor);
}

/* -- requests ------------------------------------------------------------- */

static void record_events(caller_t* caller, const soak_event_t* first, uint32_t to) {
    char fields[120];
    snprintf(fields, sizeof(fields), "%s %u %u %u %s %u", caller->id, first->id, to, first->run.version,
             first->run.name, first->run.after);
    record_event(caller->parent, "events", fields);
}

/* Reads the complete events that the current request has brought, and records them in runs of consecutive ones. */
static void take_events(caller_t* caller) {
    const char* text = cw_buffer_text(&caller->body);
    const char* stream = caller->resumes[0] ? caller->resumes : caller->id;
    soak_event_t first = {0}; /* of the consecutive events so far, id 0: none yet */
    soak_event_t event = {0};
    uint32_t last = 0;
    size_t used = 0;
    for (size_t n = 0; (n = soak_event_read(text + used, stream, caller->event_count + 1, &event)) > 0; used += n) {
        caller->is_out_of_order = caller->is_out_of_order || event.id != caller->event_count + 1 || !event.run.version;
        caller->event_count = event.id > caller->event_count ? event.id : caller->event_count;
        bool is_next = first.id && event.id == last + 1 && event.run.version == first.run.version &&
                       event.run.after == first.run.after && strcmp(event.run.name, first.run.name) == 0;
        if (!is_next && first.id) {
            record_events(caller, &first, last);
        }
        first = is_next ? first : event;
        last = event.id;
    }
    if (first.id) {
        record_events(caller, &first, last);
    }
    caller->is_cut_in_event = used < caller->body.size;
}

static bool is_stream(const caller_t* caller) {
    return soak_kinds[caller->kind].tokens_max > 0;
}

/* Returns whether the response has the right body: all events in order, or the text that is expected for the call. */
static bool is_body_correct(const caller_t* caller) {
    char expected[100];
    if (!is_stream(caller)) {
        snprintf(expected, sizeof(expected), "ran %s", caller->id);
        return strcmp(cw_buffer_text(&caller->body), expected) == 0;
    }
    return caller->event_count == soak_kinds[caller->kind].events && !caller->is_out_of_order &&
           !caller->is_cut_in_event;
}

static bool is_query_of_death(const caller_t* caller) {
    return caller->qod_name[0] != 0;
}

/* Prepares to resume a stream that was broken off after its last complete event. False: there is nothing to resume, or
   it was tried often enough. */
static bool prepare_resume(caller_t* caller, unsigned status, bool is_complete) {
    bool is_refused = is_complete && status == 503 && caller->resumes[0];
    bool is_broken = !is_complete && (status == 200 || (!status && caller->resumes[0]));
    if (is_query_of_death(caller) || !soak_kinds[caller->kind].is_resumable || (!is_refused && !is_broken) ||
        caller->resume_attempts == RESUME_ATTEMPTS_MAX || !caller->event_count) {
        return false;
    }
    cw_buffer_free(&caller->body);
    if (!caller->resumes[0]) {
        cw_copy(caller->resumes, sizeof(caller->resumes), caller->id);
    }
    caller->resume_attempts++;
    return true;
}

/* Forgets the stream, once its request has ended. */
static void drop_stream(caller_t* caller) {
    caller->resumes[0] = 0;
    caller->event_count = caller->resume_attempts = 0;
    caller->is_out_of_order = caller->is_cut_in_event = false;
    cw_buffer_free(&caller->body);
}

static void finish(caller_t* caller, unsigned status, bool is_response_complete) {
    char fields[100];
    const char* retry =
        is_response_complete && status == 503 ? cw_message_field(&caller->response, "Retry-After") : NULL;
    caller->is_busy = false;
    ev_timer_stop(caller->parent->loop, &caller->abandon_timer);
    bool is_quarantined = status == 503 && strstr(cw_buffer_text(&caller->body), QUARANTINE_TEXT);
    if (is_stream(caller) && status == 200) {
        take_events(caller);
    }
    snprintf(fields, sizeof(fields), "%s %u %d %d %" PRId64 " %d", caller->id, status, is_response_complete,
             is_response_complete && is_body_correct(caller),
             caller->first_byte_ms ? caller->first_byte_ms - caller->sent_ms : 0, is_quarantined);
    record_event(caller->parent, "done", fields);
    if (prepare_resume(caller, status, is_response_complete)) {
        caller->retry_s = retry ? strtod(retry, NULL) : RESUME_DELAY_S;
        schedule_next(caller, caller->retry_s);
        return;
    }
    drop_stream(caller);
    caller->retry_s = retry && !caller->has_retried ? strtod(retry, NULL) : 0;
    caller->has_retried = caller->retry_s > 0;
    schedule_next(caller, caller->retry_s > 0 ? caller->retry_s : random_think_time_s(caller->parent));
}

static void close_connection(caller_t* caller) {
    cw_stream_close(&caller->stream);
    caller->is_open = false;
}

static void on_head(void* owner) {
    (void)owner;
}

static void on_body(void* owner, const char* data, size_t size) {
    caller_t* caller = owner;
    caller->first_byte_ms = caller->first_byte_ms ? caller->first_byte_ms : standin_now_ms();
    cw_buffer_add(&caller->body, data, size);
}

static const cw_message_handlers_t response_handlers = {.on_head = on_head, .on_body = on_body};

static void on_data(void* owner, const char* data, size_t size) {
    caller_t* caller = owner;
    if (!caller->is_busy) {
        close_connection(caller); /* the host sent data although no request is open */
        return;
    }
    cw_message_parse(&caller->response, data, size);
    if (caller->response.state == CW_MESSAGE_MALFORMED) {
        close_connection(caller);
        finish(caller, 0, false);
    } else if (caller->response.state == CW_MESSAGE_COMPLETE) {
        bool is_keep_alive = caller->response.keep_alive;
        finish(caller, caller->response.status, true);
        cw_message_reset(&caller->response);
        if (!is_keep_alive) {
            close_connection(caller);
        }
    }
}

static void on_end(void* owner, cw_stream_end_reason_t end) {
    caller_t* caller = owner;
    bool in_response = caller->response.state == CW_MESSAGE_HEAD || caller->response.state == CW_MESSAGE_BODY;
    caller->is_open = false;
    if (caller->is_busy && end != CW_STREAM_CONNECT_FAILED) {
        finish(caller, in_response ? caller->response.status : 0, false);
    } else if (!caller->is_busy) {
        schedule_next(caller, RECONNECT_DELAY_MS / 1000.0);
    }
    cw_message_reset(&caller->response);
}

/* Returns the number, 1 to count, of the query of death to send now, or 0 for an ordinary request. */
static uint32_t next_query_of_death(callers_t* c, uint32_t count) {
    uint32_t number = (uint32_t)((standin_now_ms() - c->start_ms) / 1000 / QOD_DURATION_S) + 1;
    return number <= count && next_random_unit(c) < QOD_PER_S / (c->requests_per_s * c->rate_factor) ? number : 0;
}

/* Sets the parts of a prompt. second: id of its second part. */
static void set_parts(caller_t* caller, uint32_t second) {
    callers_t* c = caller->parent;
    uint32_t shared_tokens = FIRST_PART_TOKENS + SECOND_PART_TOKENS;
    uint32_t own_tokens = caller->tokens > shared_tokens ? caller->tokens - shared_tokens : 1;
    snprintf(caller->parts, sizeof(caller->parts), "%x:%d,%x:%d,%016" PRIx64 ":%u",
             (unsigned)(1 + next_random(c) % POPULAR_PARTS), FIRST_PART_TOKENS, second, SECOND_PART_TOKENS,
             next_random(c) | 1U, own_tokens);
}

static void choose_deadly_body(caller_t* caller, uint32_t number) {
    caller->kind = soak_find_kind(number % 3 ? "short" : "get");
    caller->tokens = soak_kinds[caller->kind].tokens_min;
    snprintf(caller->body_text, sizeof(caller->body_text), "deadly-%u", number);
    cw_copy(caller->qod_name, sizeof(caller->qod_name), caller->body_text);
}

static void choose_deadly_part(caller_t* caller, uint32_t number) {
    caller->kind = soak_find_kind(number % 3 ? "short" : "medium");
    caller->tokens = soak_kinds[caller->kind].tokens_min;
    set_parts(caller, SOAK_DEADLY_PART + number);
    snprintf(caller->body_text, sizeof(caller->body_text), "%016" PRIx64, next_random(caller->parent));
    snprintf(caller->qod_name, sizeof(caller->qod_name), SOAK_QOD_PART_PREFIX "%u", number);
}

static void choose_request(caller_t* caller) {
    callers_t* c = caller->parent;
    caller->qod_name[0] = caller->parts[0] = 0;
    uint32_t body = next_query_of_death(c, c->qod_body_count);
    if (body) {
        choose_deadly_body(caller, body);
        return;
    }
    uint32_t part = next_query_of_death(c, c->qod_part_count);
    if (part) {
        choose_deadly_part(caller, part);
        return;
    }
    double at = next_random_unit(c);
    caller->kind = 0;
    while (caller->kind < SOAK_KINDS - 1 && at >= soak_kinds[caller->kind].share) {
        at -= soak_kinds[caller->kind++].share;
    }
    const soak_kind_t* kind = &soak_kinds[caller->kind];
    double span = kind->tokens_max ? log((double)kind->tokens_max / kind->tokens_min) : 0;
    caller->tokens =
        kind->tokens_max ? (uint32_t)(kind->tokens_min * exp(span * next_random_unit(c) * next_random_unit(c))) : 0;
    caller->body_text[0] = 0;
    if (kind->tokens_max) {
        snprintf(caller->body_text, sizeof(caller->body_text), "%016" PRIx64, next_random(c));
        set_parts(caller, 0x100 + (uint32_t)(next_random(c) % SHARED_PARTS));
    }
}

static void send_request(caller_t* caller) {
    callers_t* c = caller->parent;
    const soak_kind_t* kind = &soak_kinds[caller->kind];
    char text[600];
    char fields[140];
    snprintf(caller->id, sizeof(caller->id), "%016" PRIx64, next_random(c));
    int n =
        snprintf(text, sizeof(text), "POST %sx HTTP/1.1\r\nHost: soak.example\r\nChalkway-Request-Id: %s\r\n%s: %u\r\n",
                 kind->path, caller->id, DEADLINE_FIELD, kind->timeout_ms);
    if (kind->tokens_max) {
        n += snprintf(text + n, sizeof(text) - (size_t)n, "Chalkway-Tokens: %u,%u\r\n", caller->tokens, kind->events);
    }
    if (caller->parts[0]) {
        n += snprintf(text + n, sizeof(text) - (size_t)n, "Chalkway-Prompt-Parts: %s\r\n", caller->parts);
    }
    if (caller->resumes[0]) {
        n += snprintf(text + n, sizeof(text) - (size_t)n, "Last-Event-Id: %u\r\nChalkway-Resumes: %s\r\n",
                      caller->event_count, caller->resumes);
    }
    n += snprintf(text + n, sizeof(text) - (size_t)n, "Content-Length: %zu\r\n\r\n%s", strlen(caller->body_text),
                  caller->body_text);
    caller->is_busy = true;
    caller->first_byte_ms = 0;
    caller->sent_ms = standin_now_ms();
    snprintf(fields, sizeof(fields), "%s %s %s %u %s %s", caller->id, kind->name, caller->host, caller->tokens,
             is_query_of_death(caller) ? caller->qod_name : "-", caller->resumes);
    record_event(c, "sent", fields);
    cw_stream_write(&caller->stream, text, (size_t)n);
    cw_stream_flush(&caller->stream);
    bool abandons = next_random(c) % ABANDON_ONE_IN == 0;
    double abandon_s =
        (abandons ? ABANDON_MIN_MS + next_random_unit(c) * ABANDON_SPREAD_MS : RESPONSE_TIMEOUT_MS) / 1000.0;
    ev_timer_stop(c->loop, &caller->abandon_timer);
    ev_timer_set(&caller->abandon_timer, abandon_s, 0.0);
    ev_timer_start(c->loop, &caller->abandon_timer);
}

/* The caller abandons its request and closes the connection. */
static void on_abandon(struct ev_loop* loop, ev_timer* t, int events) {
    (void)loop;
    (void)events;
    caller_t* caller = t->data;
    if (is_stream(caller) && caller->response.status == 200) {
        take_events(caller);
    }
    record_event(caller->parent, "left", caller->id);
    caller->is_busy = caller->has_retried = false;
    drop_stream(caller);
    cw_message_reset(&caller->response);
    close_connection(caller);
    schedule_next(caller, random_think_time_s(caller->parent));
}

/* -- connections ---------------------------------------------------------- */

static void on_open(void* owner) {
    send_request(owner);
}

static const cw_stream_handlers_t stream_handlers = {.on_open = on_open, .on_data = on_data, .on_end = on_end};

/* Picks a random host among the addresses ("IP:PORT") in the lookup response. Returns false if there is none. */
static bool pick_host(caller_t* caller) {
    char* found[MAX_HOSTS];
    uint32_t count = 0;
    char* at = strchr(caller->lookup, '[');
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
    cw_copy(caller->host, sizeof(caller->host), found[next_random(caller->parent) % count]);
    return true;
}

static void on_lookup_done(void* user, const cw_call_result_t* result) {
    caller_t* caller = user;
    struct sockaddr_in address;
    bool found = result->is_complete && result->status == 200 && pick_host(caller) &&
                 cw_addr_parse(caller->host, &address, NULL) == CW_OK;
    if (!found ||
        cw_stream_connect(&caller->stream, caller->parent->loop, &address, &stream_handlers, caller) != CW_OK) {
        schedule_next(caller, RECONNECT_DELAY_MS / 1000.0);
        return;
    }
    caller->is_open = true;
}

static bool on_lookup_data(void* user, const char* data, size_t size) {
    caller_t* caller = user;
    size_t used = strlen(caller->lookup);
    strncat(caller->lookup, data, size < sizeof(caller->lookup) - used - 1 ? size : 0);
    return true;
}

static void look_up(caller_t* caller) {
    callers_t* c = caller->parent;
    char url[128];
    snprintf(url, sizeof(url), "http://%s/v1/lookup?hall=a", c->hosts[next_random(c) % c->host_count]);
    caller->lookup[0] = 0;
    cw_client_call(c->client, &(cw_call_desc_t){.url = url,
                                                .connect_timeout_ms = LOOKUP_TIMEOUT_MS,
                                                .timeout_ms = LOOKUP_TIMEOUT_MS,
                                                .use_new_connection = true,
                                                .on_data = on_lookup_data,
                                                .on_done = on_lookup_done,
                                                .user_data = caller});
}

static void on_think_end(struct ev_loop* loop, ev_timer* t, int events) {
    (void)loop;
    (void)events;
    caller_t* caller = t->data;
    if (caller->parent->is_ending || caller->is_busy) {
        return;
    }
    if (caller->retry_s <= 0 && !caller->resumes[0]) {
        choose_request(caller);
    }
    caller->retry_s = 0;
    if (caller->is_open) {
        send_request(caller);
    } else {
        look_up(caller);
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
        case 'p':
            c->qod_part_count = (uint32_t)strtoul(arg, NULL, 10);
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
        {"deadly-parts", 'p', "N", 0, "number of parts of prompts that crash upstreams, default 0", 0},
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
        caller_t* caller = &c->callers[i];
        caller->parent = c;
        caller->stream.fd = -1;
        cw_message_setup(&caller->response, CW_MESSAGE_RESPONSE, &response_handlers, caller);
        ev_timer_init(&caller->think_timer, on_think_end, 0.0, 0.0);
        ev_timer_init(&caller->abandon_timer, on_abandon, 0.0, 0.0);
        caller->think_timer.data = caller->abandon_timer.data = caller;
        schedule_next(caller, random_think_time_s(c));
    }
    ev_run(c->loop, 0);
    cw_lines_shutdown(&c->lines);
    return 0;
}
