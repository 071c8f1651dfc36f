/*
    chalkway-soak-callers: callers of a soak, each with one connection that it keeps as long as it stays open.

    A caller asks a host's lookup address which hosts to use, connects to one of them by chance, sends one request after
   the other and pauses between them. It asks again when its connection has ended. What it sends and gets goes to
   standard output, one line each, as tools/soak.h says. A 503 with Retry-After is heeded once. Signal USR1 doubles the
   pace until USR2.

    With --deadly N some requests carry one of N bodies that end every upstream which begins to run them, each body
   about DEADLY_PER_S times a second for DEADLY_FOR_S, one body after the other. The bodies of other prompts differ all;
   plain calls have none, so that they are all the same request.
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
#define LINES_BYTES 16777216
#define HELD_WORDS "servers ended under it" /* in the answer to a request that is held back */
#define MAX_CALLERS 2000
#define MAX_HOSTS 64
#define LOOKUP_MS 1000
#define AGAIN_MS 200   /* after a lookup or a connection that failed */
#define LEAVE_SHARE 25 /* one request in so many is given up */
#define LEAVE_MIN_MS 5
#define LEAVE_SPREAD_MS 200
#define PATIENCE_MS 12000 /* a caller waits no longer for an answer */
#define BURST 2.5         /* times the usual pace in a burst */
#define DEADLY_PER_S 3.0
#define DEADLY_FOR_S 12

typedef struct callers_t callers_t;

typedef struct caller_t {
    callers_t* all;
    cw_stream_t stream;
    cw_message_t answer;
    bool open, in_body;
    char host[CW_ADDR_TEXT];
    /* the request at hand */
    bool busy;
    char id[20];
    int kind;
    uint32_t tokens;
    char text[24]; /* of its body, "" none */
    int64_t sent_ms, first_ms;
    cw_buffer_t body;
    bool retried;
    double retry_s; /* 0: none */
    ev_timer pause, patience;
    char lookup[1024];
} caller_t;

struct callers_t {
    struct ev_loop* loop;
    cw_lines_t lines;
    cw_client_t* client;
    caller_t callers[MAX_CALLERS];
    uint32_t count;
    const char* hosts[MAX_HOSTS]; /* lookup addresses */
    uint32_t host_count;
    double per_s, pace;
    uint32_t deadly; /* bodies */
    int64_t begun_ms;
    uint64_t seed, draws;
    ev_signal faster, slower, term;
    bool ending;
};

static uint64_t draw(callers_t* c) {
    return cw_mix(c->seed, ++c->draws);
}

static double draw_unit(callers_t* c) {
    return ((double)(draw(c) >> 11) + 0.5) / 9007199254740992.0;
}

static void say(callers_t* c, const char* what, const char* rest) {
    char line[240];
    snprintf(line, sizeof(line), "C %" PRId64 " %s %s", standin_now(), what, rest);
    cw_lines_add(&c->lines, line);
}

static void again(caller_t* w, double s) {
    ev_timer_stop(w->all->loop, &w->pause);
    ev_timer_set(&w->pause, s, 0.0);
    ev_timer_start(w->all->loop, &w->pause);
}

static double think_s(callers_t* c) {
    return -log(draw_unit(c)) * c->count / (c->per_s * c->pace);
}

/* -- requests ------------------------------------------------------------- */

/* Whether the body is the answer to the request: every event, in order, or the call's own words. */
static bool body_right(const caller_t* w) {
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

static void finish(caller_t* w, unsigned status, bool whole) {
    char rest[100];
    const char* retry = whole && status == 503 ? cw_message_field(&w->answer, "Retry-After") : NULL;
    w->busy = false;
    ev_timer_stop(w->all->loop, &w->patience);
    bool held = status == 503 && strstr(cw_buffer_text(&w->body), HELD_WORDS);
    snprintf(rest, sizeof(rest), "%s %u %d %d %" PRId64 " %d", w->id, status, whole, whole && body_right(w),
             w->first_ms ? w->first_ms - w->sent_ms : 0, held);
    say(w->all, "done", rest);
    cw_buffer_free(&w->body);
    w->retry_s = retry && !w->retried ? strtod(retry, NULL) : 0;
    w->retried = w->retry_s > 0;
    again(w, w->retry_s > 0 ? w->retry_s : think_s(w->all));
}

static void hang_up(caller_t* w) {
    cw_stream_close(&w->stream);
    w->open = false;
}

static void on_head(void* owner) {
    (void)owner;
}

static void on_body(void* owner, const char* data, size_t size) {
    caller_t* w = owner;
    w->first_ms = w->first_ms ? w->first_ms : standin_now();
    cw_buffer_add(&w->body, data, size);
}

static const cw_message_handlers_t answer_handlers = {.on_head = on_head, .on_body = on_body};

static void on_data(void* owner, const char* data, size_t size) {
    caller_t* w = owner;
    if (!w->busy) {
        hang_up(w); /* bytes that nobody asked for */
        return;
    }
    cw_message_read(&w->answer, data, size);
    if (w->answer.state == CW_MESSAGE_BROKEN) {
        hang_up(w);
        finish(w, 0, false);
    } else if (w->answer.state == CW_MESSAGE_COMPLETE) {
        bool kept = w->answer.keep_alive;
        finish(w, w->answer.status, true);
        cw_message_reset(&w->answer);
        if (!kept) {
            hang_up(w);
        }
    }
}

static void on_end(void* owner, cw_stream_end_t end) {
    caller_t* w = owner;
    bool in_answer = w->answer.state == CW_MESSAGE_HEAD || w->answer.state == CW_MESSAGE_BODY;
    w->open = false;
    if (w->busy && end != CW_STREAM_REFUSED) {
        finish(w, in_answer ? w->answer.status : 0, false);
    } else if (!w->busy) {
        again(w, AGAIN_MS / 1000.0);
    }
    cw_message_reset(&w->answer);
}

/* The deadly body that is due now, 0: none. */
static uint32_t deadly_now(callers_t* c) {
    uint32_t body = (uint32_t)((standin_now() - c->begun_ms) / 1000 / DEADLY_FOR_S) + 1;
    return body <= c->deadly && draw_unit(c) < DEADLY_PER_S / (c->per_s * c->pace) ? body : 0;
}

static void choose_deadly(caller_t* w, uint32_t body) {
    w->kind = soak_kind_find(body % 3 ? "short" : "get");
    w->tokens = soak_kinds[w->kind].tokens_min;
    snprintf(w->text, sizeof(w->text), "deadly-%u", body);
}

static void choose_work(caller_t* w) {
    callers_t* c = w->all;
    uint32_t deadly = deadly_now(c);
    if (deadly) {
        choose_deadly(w, deadly);
        return;
    }
    double at = draw_unit(c);
    w->kind = 0;
    while (w->kind < SOAK_KINDS - 1 && at >= soak_kinds[w->kind].share) {
        at -= soak_kinds[w->kind++].share;
    }
    const soak_kind_t* kind = &soak_kinds[w->kind];
    double span = kind->tokens_max ? log((double)kind->tokens_max / kind->tokens_min) : 0;
    w->tokens = kind->tokens_max ? (uint32_t)(kind->tokens_min * exp(span * draw_unit(c) * draw_unit(c))) : 0;
    w->text[0] = 0;
    if (kind->tokens_max) {
        snprintf(w->text, sizeof(w->text), "%016" PRIx64, draw(c));
    }
}

static void send_request(caller_t* w) {
    callers_t* c = w->all;
    const soak_kind_t* kind = &soak_kinds[w->kind];
    char text[400];
    char rest[120];
    snprintf(w->id, sizeof(w->id), "%016" PRIx64, draw(c));
    int n =
        snprintf(text, sizeof(text), "POST %sx HTTP/1.1\r\nHost: soak.example\r\nChalkway-Request-Id: %s\r\n%s: %u\r\n",
                 kind->path, w->id, DEADLINE_FIELD, kind->timeout_ms);
    if (kind->tokens_max) {
        n += snprintf(text + n, sizeof(text) - (size_t)n, "Chalkway-Tokens: %u,%u\r\n", w->tokens, kind->events);
    }
    n += snprintf(text + n, sizeof(text) - (size_t)n, "Content-Length: %zu\r\n\r\n%s", strlen(w->text), w->text);
    w->busy = true;
    w->first_ms = 0;
    w->sent_ms = standin_now();
    bool deadly = strncmp(w->text, "deadly", strlen("deadly")) == 0;
    snprintf(rest, sizeof(rest), "%s %s %s %u %s", w->id, kind->name, w->host, w->tokens, deadly ? w->text : "-");
    say(c, "sent", rest);
    cw_stream_write(&w->stream, text, (size_t)n);
    cw_stream_flush(&w->stream);
    bool leaves = draw(c) % LEAVE_SHARE == 0;
    double patience_s = (leaves ? LEAVE_MIN_MS + draw_unit(c) * LEAVE_SPREAD_MS : PATIENCE_MS) / 1000.0;
    ev_timer_stop(c->loop, &w->patience);
    ev_timer_set(&w->patience, patience_s, 0.0);
    ev_timer_start(c->loop, &w->patience);
}

/* The caller gives the request up. */
static void on_patience(struct ev_loop* loop, ev_timer* t, int events) {
    (void)loop;
    (void)events;
    caller_t* w = t->data;
    say(w->all, "left", w->id);
    w->busy = w->retried = false;
    cw_buffer_free(&w->body);
    cw_message_reset(&w->answer);
    hang_up(w);
    again(w, think_s(w->all));
}

/* -- connections ---------------------------------------------------------- */

static void on_open(void* owner) {
    send_request(owner);
}

static const cw_stream_handlers_t stream_handlers = {.on_open = on_open, .on_data = on_data, .on_end = on_end};

/* Addresses "A:P" in the lookup's answer: one of them by chance. */
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
    cw_copy(w->host, sizeof(w->host), found[draw(w->all) % count]);
    return true;
}

static void on_lookup_done(void* user, const cw_call_result_t* result) {
    caller_t* w = user;
    struct sockaddr_in address;
    bool found =
        result->whole && result->status == 200 && pick_host(w) && cw_addr_parse(w->host, &address, NULL) == CW_OK;
    if (!found || cw_stream_connect(&w->stream, w->all->loop, &address, &stream_handlers, w) != CW_OK) {
        again(w, AGAIN_MS / 1000.0);
        return;
    }
    w->open = true;
}

static bool on_lookup_data(void* user, const char* data, size_t size) {
    caller_t* w = user;
    size_t have = strlen(w->lookup);
    strncat(w->lookup, data, size < sizeof(w->lookup) - have - 1 ? size : 0);
    return true;
}

static void look_up(caller_t* w) {
    callers_t* c = w->all;
    char url[128];
    snprintf(url, sizeof(url), "http://%s/v1/lookup?hall=a", c->hosts[draw(c) % c->host_count]);
    w->lookup[0] = 0;
    cw_client_call(c->client, &(cw_call_desc_t){.url = url,
                                                .connect_ms = LOOKUP_MS,
                                                .timeout_ms = LOOKUP_MS,
                                                .fresh = true,
                                                .on_data = on_lookup_data,
                                                .on_done = on_lookup_done,
                                                .user_data = w});
}

static void on_pause(struct ev_loop* loop, ev_timer* t, int events) {
    (void)loop;
    (void)events;
    caller_t* w = t->data;
    if (w->all->ending || w->busy) {
        return;
    }
    if (w->retry_s <= 0) {
        choose_work(w);
    }
    w->retry_s = 0;
    if (w->open) {
        send_request(w);
    } else {
        look_up(w);
    }
}

/* -- start ---------------------------------------------------------------- */

static void on_faster(struct ev_loop* loop, ev_signal* s, int events) {
    (void)loop;
    (void)events;
    ((callers_t*)s->data)->pace = BURST;
}

static void on_slower(struct ev_loop* loop, ev_signal* s, int events) {
    (void)loop;
    (void)events;
    ((callers_t*)s->data)->pace = 1;
}

/* The first signal ends sending, so that what runs may be answered; the second ends the program. */
static void on_term(struct ev_loop* loop, ev_signal* s, int events) {
    (void)events;
    callers_t* c = s->data;
    if (c->ending) {
        ev_break(loop, EVBREAK_ALL);
    }
    c->ending = true;
}

static void watch(callers_t* c, ev_signal* s, int number, void (*handler)(struct ev_loop*, ev_signal*, int)) {
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
            c->per_s = strtod(arg, NULL);
            return 0;
        case 's':
            c->seed = strtoull(arg, NULL, 10);
            return 0;
        case 'd':
            c->deadly = (uint32_t)strtoul(arg, NULL, 10);
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
        {"callers", 'n', "N", 0, "callers, default 60", 0},
        {"rate", 'r', "N", 0, "requests a second of all together, default 100", 0},
        {"seed", 's', "N", 0, "of what they do", 0},
        {"deadly", 'd', "N", 0, "bodies that end upstreams, default 0", 0},
        {0},
    };
    const struct argp argp = {
        .options = options, .parser = parse_option, .args_doc = "LOOKUP...", .doc = "Callers of a soak."};
    static callers_t callers = {.count = 60, .per_s = 100, .pace = 1, .seed = 1};
    callers_t* c = &callers;
    argp_parse(&argp, argc, argv, 0, NULL, c);
    signal(SIGPIPE, SIG_IGN);
    c->loop = ev_default_loop(0);
    c->begun_ms = standin_now();
    c->client = cw_client_setup(c->loop, MAX_HOSTS);
    printf("ready\n");
    fflush(stdout);
    cw_lines_setup(&c->lines, c->loop, 1, LINES_BYTES);
    watch(c, &c->faster, SIGUSR1, on_faster);
    watch(c, &c->slower, SIGUSR2, on_slower);
    watch(c, &c->term, SIGTERM, on_term);
    for (uint32_t i = 0; i < c->count; i++) {
        caller_t* w = &c->callers[i];
        w->all = c;
        w->stream.fd = -1;
        cw_message_setup(&w->answer, CW_MESSAGE_RESPONSE, &answer_handlers, w);
        ev_timer_init(&w->pause, on_pause, 0.0, 0.0);
        ev_timer_init(&w->patience, on_patience, 0.0, 0.0);
        w->pause.data = w->patience.data = w;
        again(w, think_s(c));
    }
    ev_run(c->loop, 0);
    cw_lines_shutdown(&c->lines);
    return 0;
}
