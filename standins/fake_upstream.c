/*
    fake-upstream: stand-in of a server behind a gateway, engine or plain service, in chalkway's own dialect.

    Any path but /health and /admin/set is work. A request that names another server in Chalkway-Server is answered 421,
    one that finds the queue full 503 with Chalkway-Not-Run.

    Engine (--slots above 0 and --prefill): up to --slots requests run at once, the more urgent ones first. Each step
   reads up to CHUNK_TOKENS of the most urgent prompt that is not read yet and makes one event of every request that is.
   Event number K of request ID is "id: K", "data: <hash of ID and K>"; OUT events of "Chalkway-Tokens: IN,OUT" are
   made; Last-Event-Id lets them begin after that one.

    Service (no --prefill): after --ms the answer is "ran ID".

    POST /admin/set?slow=X     every step, and each call, takes X times as long
                   &limit=X    answers name a rate of X requests a second, -1: none
                   &rest=X     half of the requests are turned away with 503 and X seconds of Retry-After, 0: none
                   &leaving=1  answers say that it leaves

    A body that begins with "deadly" ends the process DEADLY_MS after its request began to run, in the midst of all that
   runs beside it.

    Standard output, after the ready line: what ran, one line each, times in ms of the monotonic clock.
        U MS begin ID SERVER PRIORITY TOKENS
        U MS end|gone ID SERVER
        U MS reach|died ID SERVER     a deadly request came; the process ends under it
        U MS came ID SERVER           any request for it
        U MS rate - SERVER PER_S      the rate that it names from now on, -1: none
        U MS named|parts ID SERVER    an answer names the rate, or says that it leaves
        U MS away ID SERVER REST_MS   it is turned away, with so long a rest
*/
#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#include "../chalkway_heap.h"
#include "../io/lines.h"
#include "standin.h"

#define MAX_JOBS 1024
#define CHUNK_TOKENS 512
#define STEP_MS 3.0         /* of a step in which nothing is read */
#define STEP_RUN_MS 0.02    /* more for each request that runs */
#define LINES_BYTES 4194304 /* of lines that nobody has read */
#define PRIORITY_LAST 9
#define HEADERS_MAX 6
#define DEADLY_MS 60.0
#define DEADLY_STATUS 3 /* of the process that ends under a request */

typedef struct job_t {
    cw_exchange_t* x;
    bool used, running, begun, deadly;
    char id[64];
    uint32_t priority, tokens, unread, made, length;
    ev_timer timer; /* of a call, or until a deadly request ends the process */
    struct upstream_t* upstream;
} job_t;

typedef struct upstream_t {
    standin_t standin;
    cw_lines_t lines;
    const char* id;
    uint32_t slots, queue_max;
    double prefill_us; /* 0: a service */
    double call_ms, slow;
    double limit_per_s; /* that it names, < 0: none */
    double rest_s;      /* that it asks for, 0: none */
    bool leaving;       /* its answers say so */
    job_t jobs[MAX_JOBS];
    cw_heap_t queue; /* waiting jobs by priority and arrival */
    double arrivals;
    uint32_t running;
    uint32_t turns; /* requests that came while it asked for rest */
    ev_timer step;
} upstream_t;

static void say_id(upstream_t* u, const char* what, const char* id) {
    char line[160];
    snprintf(line, sizeof(line), "U %" PRId64 " %s %s %s", standin_now(), what, id, u->id);
    cw_lines_add(&u->lines, line);
}

static void say(upstream_t* u, const char* what, const job_t* job) {
    say_id(u, what, job->id);
}

static void say_begin(upstream_t* u, const job_t* job) {
    char line[200];
    snprintf(line, sizeof(line), "U %" PRId64 " begin %s %s %u %u", standin_now(), job->id, u->id, job->priority,
             job->tokens);
    cw_lines_add(&u->lines, line);
}

/* What the head of an answer asks of its host, beside the request's id: fills up to HEADERS_MAX headers. */
static uint32_t add_pushback(upstream_t* u, const char* id, char limit[24], cw_header_t* headers, uint32_t count) {
    if (u->limit_per_s >= 0) {
        snprintf(limit, 24, "%.3f", u->limit_per_s);
        headers[count++] = (cw_header_t){"Chalkway-Server-Limit", limit};
        say_id(u, "named", id);
    }
    if (u->leaving) {
        headers[count++] = (cw_header_t){"Chalkway-Server-Leaving", "1"};
        say_id(u, "parts", id);
    }
    return count;
}

static void job_free(job_t* job) {
    upstream_t* u = job->upstream;
    cw_heap_remove(&u->queue, (uint32_t)(job - u->jobs));
    ev_timer_stop(u->standin.loop, &job->timer);
    u->running -= job->running ? 1 : 0;
    *job = (job_t){0};
}

static void on_call_done(struct ev_loop* loop, ev_timer* w, int events);

static void on_deadly(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    job_t* job = w->data;
    say(job->upstream, "died", job);
    cw_lines_shutdown(&job->upstream->lines);
    _exit(DEADLY_STATUS);
}

static void begin(upstream_t* u, job_t* job) {
    job->running = job->begun = true;
    u->running++;
    say_begin(u, job);
    if (u->prefill_us <= 0 || job->deadly) {
        double ms = job->deadly ? DEADLY_MS : u->call_ms * u->slow;
        ev_timer_init(&job->timer, job->deadly ? on_deadly : on_call_done, ms / 1000.0, 0.0);
        job->timer.data = job;
        ev_timer_start(u->standin.loop, &job->timer);
    }
}

static job_t* next_to_read(upstream_t* u) {
    job_t* first = NULL;
    for (uint32_t i = 0; i < MAX_JOBS; i++) {
        job_t* job = &u->jobs[i];
        if (job->used && job->running && job->unread && (!first || job->priority < first->priority)) {
            first = job;
        }
    }
    return first;
}

static uint32_t chunk_of(const job_t* job) {
    return job && job->unread < CHUNK_TOKENS ? job->unread : job ? CHUNK_TOKENS : 0;
}

static void admit(upstream_t* u) {
    while (u->running < u->slots && u->queue.count) {
        uint32_t i = cw_heap_top(&u->queue);
        cw_heap_remove(&u->queue, i);
        begin(u, &u->jobs[i]);
    }
    if (u->prefill_us > 0 && u->running && !ev_is_active(&u->step)) {
        uint32_t chunk = chunk_of(next_to_read(u));
        double ms = STEP_MS + STEP_RUN_MS * u->running + chunk * u->prefill_us / 1000.0;
        ev_timer_set(&u->step, ms * u->slow / 1000.0, 0.0);
        ev_timer_start(u->standin.loop, &u->step);
    }
}

static void end(upstream_t* u, job_t* job) {
    say(u, "end", job);
    job_free(job);
    admit(u);
}

static void on_call_done(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    job_t* job = w->data;
    char body[80];
    int size = snprintf(body, sizeof(body), "ran %s", job->id);
    char limit[24];
    cw_header_t headers[HEADERS_MAX] = {{"Chalkway-Request-Id", job->id}};
    uint32_t count = add_pushback(job->upstream, job->id, limit, headers, 1);
    cw_exchange_reply(job->x, 200, headers, count, body, (size_t)size);
    end(job->upstream, job);
}

static void make_event(job_t* job) {
    char event[96];
    job->made++;
    int n = snprintf(event, sizeof(event), "id: %u\ndata: %016llx\n\n", job->made,
                     (unsigned long long)XXH64(job->id, strlen(job->id), job->made));
    cw_exchange_push(job->x, event, (size_t)n);
}

static void on_step(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    upstream_t* u = w->data;
    job_t* read = next_to_read(u);
    for (uint32_t i = 0; i < MAX_JOBS; i++) {
        job_t* job = &u->jobs[i];
        bool whole = job->made >= job->length && !job->deadly; /* a deadly one never ends well */
        if (job->used && job->running && !job->unread && job != read && !whole) {
            make_event(job);
            whole = job->made >= job->length && !job->deadly;
        }
        if (job->used && job->running && !job->unread && whole) {
            cw_exchange_finish(job->x, true);
            say(u, "end", job);
            job_free(job);
        }
    }
    if (read) {
        read->unread -= chunk_of(read);
    }
    admit(u);
}

static job_t* job_new(upstream_t* u) {
    for (uint32_t i = 0; i < MAX_JOBS; i++) {
        if (!u->jobs[i].used) {
            u->jobs[i] = (job_t){.used = true, .upstream = u};
            return &u->jobs[i];
        }
    }
    return NULL;
}

static void reject(cw_exchange_t* x, unsigned status, const char* id) {
    const cw_header_t headers[] = {{"Chalkway-Not-Run", "1"}, {"Chalkway-Request-Id", id}};
    cw_exchange_reply(x, status, headers, 2, "", 0);
}

/* Turns the request away and asks its host for rest. */
static void turn_away(upstream_t* u, cw_exchange_t* x, const char* id) {
    char line[160];
    char rest[24];
    char limit[24];
    snprintf(rest, sizeof(rest), "%.3f", u->rest_s);
    cw_header_t headers[HEADERS_MAX] = {{"Chalkway-Not-Run", "1"}, {"Chalkway-Request-Id", id}, {"Retry-After", rest}};
    uint32_t count = add_pushback(u, id, limit, headers, 3);
    cw_exchange_reply(x, 503, headers, count, "", 0);
    snprintf(line, sizeof(line), "U %" PRId64 " away %s %s %.0f", standin_now(), id, u->id, u->rest_s * 1000);
    cw_lines_add(&u->lines, line);
}

static void work(upstream_t* u, cw_exchange_t* x) {
    const char* id = cw_exchange_header(x, "Chalkway-Request-Id");
    const char* server = cw_exchange_header(x, "Chalkway-Server");
    const char* tokens = cw_exchange_header(x, "Chalkway-Tokens");
    const char* priority = cw_exchange_header(x, "Chalkway-Priority");
    const char* after = cw_exchange_header(x, "Last-Event-Id");
    if (server && strcmp(server, u->id) != 0) {
        reject(x, 421, id ? id : "");
        return;
    }
    if (id) {
        say_id(u, "came", id);
    }
    if (id && u->rest_s > 0 && ++u->turns % 2) {
        turn_away(u, x, id);
        return;
    }
    job_t* job = id && u->queue.count < u->queue_max ? job_new(u) : NULL;
    if (!job) {
        reject(x, 503, id ? id : "");
        return;
    }
    job->x = x;
    cw_copy(job->id, sizeof(job->id), id);
    job->priority = priority ? (uint32_t)strtoul(priority, NULL, 10) : PRIORITY_LAST;
    if (tokens) {
        sscanf(tokens, "%u,%u", &job->tokens, &job->length);
    }
    job->unread = job->tokens;
    job->made = after ? (uint32_t)strtoul(after, NULL, 10) : 0;
    cw_exchange_set_data(x, job);
    size_t size = 0;
    job->deadly = strncmp(cw_exchange_body(x, &size), "deadly", strlen("deadly")) == 0;
    if (job->deadly) {
        say(u, "reach", job);
    }
    if (u->prefill_us > 0) {
        char limit[24];
        cw_header_t headers[HEADERS_MAX] = {{"Content-Type", "text/event-stream"}, {"Chalkway-Request-Id", job->id}};
        uint32_t count = add_pushback(u, job->id, limit, headers, 2);
        cw_exchange_stream(x, 200, headers, count);
    }
    cw_heap_set(&u->queue, (uint32_t)(job - u->jobs), job->priority * 1e9 + u->arrivals++);
    admit(u);
}

static void on_request(cw_exchange_t* x, void* user) {
    upstream_t* u = user;
    const char* path = cw_exchange_path(x);
    if (strcmp(path, "/health") == 0) {
        const cw_header_t headers[] = {{"Chalkway-Server-Id", u->id}};
        cw_exchange_reply(x, 200, headers, 1, "", 0);
    } else if (strcmp(path, "/admin/set") == 0) {
        double limit_per_s = standin_arg(x, "limit", u->limit_per_s);
        if (limit_per_s != u->limit_per_s) {
            char line[120];
            u->limit_per_s = limit_per_s;
            snprintf(line, sizeof(line), "U %" PRId64 " rate - %s %.3f", standin_now(), u->id, limit_per_s);
            cw_lines_add(&u->lines, line);
        }
        u->slow = standin_arg(x, "slow", u->slow);
        u->rest_s = standin_arg(x, "rest", u->rest_s);
        u->leaving = u->leaving || standin_arg(x, "leaving", 0) > 0;
        standin_reply(x, 200, "{}");
    } else {
        work(u, x);
    }
}

static void on_gone(cw_exchange_t* x, void* user) {
    upstream_t* u = user;
    job_t* job = cw_exchange_data(x);
    if (job && job->used && job->x == x) {
        if (job->begun) {
            say(u, "gone", job);
        }
        job_free(job);
        admit(u);
    }
}

static error_t parse_option(int key, char* arg, struct argp_state* state) {
    upstream_t* u = state->input;
    switch (key) {
        case 'i':
            u->id = arg;
            return 0;
        case 's':
            u->slots = (uint32_t)strtoul(arg, NULL, 10);
            return 0;
        case 'q':
            u->queue_max = (uint32_t)strtoul(arg, NULL, 10);
            return 0;
        case 'p':
            u->prefill_us = strtod(arg, NULL);
            return 0;
        case 'm':
            u->call_ms = strtod(arg, NULL);
            return 0;
        default:
            return ARGP_ERR_UNKNOWN;
    }
}

int main(int argc, char** argv) {
    static const struct argp_option options[] = {
        {"id", 'i', "ID", 0, "of this life of the server", 0},
        {"slots", 's', "N", 0, "requests at once, default 8", 0},
        {"queue", 'q', "N", 0, "requests that may wait, default 25", 0},
        {"prefill", 'p', "US", 0, "engine: time to read a prompt token", 0},
        {"ms", 'm', "MS", 0, "service: time of a call, default 50", 0},
        {0},
    };
    const struct argp argp = {.options = options, .parser = parse_option, .doc = "Stand-in of a gateway's server."};
    static upstream_t upstream = {.id = "s", .slots = 8, .queue_max = 25, .call_ms = 50, .slow = 1, .limit_per_s = -1};
    upstream_t* u = &upstream;
    argp_parse(&argp, argc, argv, 0, NULL, u);
    u->queue = cw_heap_setup(MAX_JOBS, NULL);
    if (!standin_setup(&u->standin,
                       &(cw_httpd_desc_t){
                           .address = "127.0.0.1:0", .on_request = on_request, .on_gone = on_gone, .user_data = u})) {
        return 1;
    }
    cw_lines_setup(&u->lines, u->standin.loop, 1, LINES_BYTES);
    ev_timer_init(&u->step, on_step, 0.0, 0.0);
    u->step.data = u;
    standin_run(&u->standin);
    cw_lines_shutdown(&u->lines);
    cw_heap_shutdown(&u->queue);
    return 0;
}
