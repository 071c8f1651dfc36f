/*
    fake-upstream: stand-in for a server behind a gateway, engine or plain service, that speaks chalkway's native
    protocol.

    Every path other than /health and /admin/set is a request to execute. A request whose Chalkway-Server names another
    server is answered 421, a request without an id or with the queue full 503, both with Chalkway-Not-Run.

    Engine (--prefill above 0): up to --slots requests run at once, taken from the queue by priority. Each step
    prefills up to CHUNK_TOKENS of the most urgent unfinished prompt and produces one event for every request whose
    prefill is complete. Event K of request ID is "id: K", "data: <hash of ID, the server's version and K>";
    ID is that of Chalkway-Resumes if the request has it. With --runs the data goes on with " RUN AFTER": the run that
    sent the event, and the event after which that run began. "Chalkway-Tokens: IN,OUT" gives
    the prompt length and the number of events; Last-Event-Id: K resumes after event K.

    Service (no --prefill): after --ms the response is "ran ID".

    POST /admin/set?slow=X     every step and every call takes X times as long
                   &limit=X    responses advertise a rate limit of X requests per second, -1: none
                   &rest=X     every second request is answered 503 with Retry-After: X seconds, 0: none
                   &unframed=1 responses have neither a length nor chunks and end with their connection; one stream in
                               BREAK_ONE_IN ends inside an event. 0: as usual
                   &endless=1  one stream in BREAK_ONE_IN goes on, from its middle, with bytes that end no event, until
   its connection is closed. 0: as usual, and those streams are closed &leaving=1  responses announce that the server is
   leaving &rejects=N  under strain: all responses advertise that the server may reject N requests per second, and
   STRAIN_DELAY_MS later its queue is short and more rejections end the process; -1: no strain

    An event of an unframed stream gets its blank line when the next event or the end is sent, so a stream that is cut
    anywhere, also by the end of the process, ends inside an event.

    A body that begins with "deadly" is a query of death: CRASH_DELAY_MS after the request started to run, the process
    exits without a response to any running request. So is a prompt with a part, other than the last one, whose id
    begins with "dead" (Chalkway-Prompt-Parts).

    Standard output, after the ready line: one line per event, MS is the monotonic clock in milliseconds.
    "A|B" stands for two lines, whose meanings follow in the same order.
        U MS begin ID SERVER PRIORITY TOKENS   the request started to run
        U MS end|gone ID SERVER       the request completed; its caller closed the connection
        U MS reach|died ID SERVER     a query of death arrived; the process exits because of it
        U MS came ID SERVER           a request with an id arrived, before it is queued or rejected
        U MS rate - SERVER PER_S      the advertised rate changed, -1: none
        U MS named|parts ID SERVER    a response advertised the rate; announced that the server is leaving
        U MS away ID SERVER REST_MS   the request was rejected with Retry-After
        U MS fell - SERVER            the process exits because it rejected too many requests under strain
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
#define STEP_MS 3.0              /* duration of a step without prefill */
#define STEP_PER_REQUEST_MS 0.02 /* added to a step for each running request */
#define LINES_MAX_BYTES 4194304  /* buffer for lines not yet written to standard output */
#define PRIORITY_LOWEST 9
#define HEADERS_MAX 7
#define RATE_TEXT_MAX 24     /* of the advertised rate, in the text that backs the headers of pushback */
#define PUSHBACK_TEXT_MAX 36 /* of the rate and the limit on rejections */
#define CRASH_DELAY_MS 60.0
#define BREAK_ONE_IN 5       /* unframed streams that end inside an event */
#define CRASH_EXIT_STATUS 3  /* exit status after a query of death, and after too many rejections */
#define STRAIN_DELAY_MS 3000 /* from advertising the limit on rejections until it holds */
#define STRAIN_QUEUE 1       /* queue length under strain */
#define REJECTIONS_MAX 16    /* highest limit on rejections */

typedef struct job_t {
    cw_exchange_t* x;
    bool is_used, is_running, has_begun, is_query_of_death;
    char stream[96];          /* what the data of events is derived from */
    char run[64];             /* what follows the data of events, "": nothing */
    bool is_unframed;         /* the response ends with its connection */
    bool is_in_event;         /* the last event sent lacks its blank line */
    bool is_endless;          /* goes on with bytes that end no event once it reaches break_at_events */
    uint32_t break_at_events; /* the stream is broken off inside the event after this many; 0: never */
    char id[64];
    uint32_t priority, tokens, prefill_left, events_sent, event_count;
    ev_timer timer; /* end of a service call, or delay before the crash */
    struct upstream_t* upstream;
} job_t;

typedef struct upstream_t {
    standin_t standin;
    cw_lines_t lines;
    const char* id;
    const char* address; /* listen address */
    const char* version; /* of its software */
    bool names_runs;     /* events name the run that sent them */
    uint32_t run_count;
    uint32_t slots, queue_max;
    double prefill_us; /* per prompt token; 0: plain service */
    double call_ms, slowdown;
    double advertised_per_s; /* rate limit in responses; < 0: none */
    double backoff_s;        /* Retry-After of rejected requests; 0: none is rejected */
    bool is_leaving;         /* announced in responses */
    bool is_unframed;        /* responses end with their connection */
    bool is_endless;         /* some streams do not end */
    uint32_t stream_count;   /* streams without framing, or that may be endless, so far */
    job_t jobs[MAX_JOBS];
    cw_heap_t queue; /* waiting jobs by priority, then arrival */
    double arrival_count;
    uint32_t running;
    int reject_limit; /* rejections per second under strain; < 0: no strain */
    int64_t strained_from_ms;
    int64_t rejected_ms[REJECTIONS_MAX]; /* ring of the latest rejections */
    uint32_t rejection_count;
    uint32_t backoff_requests; /* requests received while backoff_s was set */
    ev_timer step;
} upstream_t;

static void log_event(upstream_t* u, const char* event_name, const char* id) {
    char line[160];
    snprintf(line, sizeof(line), "U %" PRId64 " %s %s %s", standin_now_ms(), event_name, id, u->id);
    cw_lines_add(&u->lines, line);
}

static void log_job_event(upstream_t* u, const char* event_name, const job_t* job) {
    log_event(u, event_name, job->id);
}

static void log_begin(upstream_t* u, const job_t* job) {
    char line[200];
    snprintf(line, sizeof(line), "U %" PRId64 " begin %s %s %u %u", standin_now_ms(), job->id, u->id, job->priority,
             job->tokens);
    cw_lines_add(&u->lines, line);
}

/* Appends the headers of server pushback, advertised limits and leaving, to the first count headers. rate_text backs
   the values and must outlive the headers. Returns the new count. */
static uint32_t add_pushback(upstream_t* u, const char* id, char rate_text[PUSHBACK_TEXT_MAX], cw_header_t* headers,
                             uint32_t count) {
    if (u->reject_limit >= 0) {
        char* text = rate_text + RATE_TEXT_MAX;
        snprintf(text, PUSHBACK_TEXT_MAX - RATE_TEXT_MAX, "%d", u->reject_limit);
        headers[count++] = (cw_header_t){"Chalkway-Server-Reject-Limit", text};
    }
    if (u->advertised_per_s >= 0) {
        snprintf(rate_text, RATE_TEXT_MAX, "%.3f", u->advertised_per_s);
        headers[count++] = (cw_header_t){"Chalkway-Server-Limit", rate_text};
        log_event(u, "named", id);
    }
    if (u->is_leaving) {
        headers[count++] = (cw_header_t){"Chalkway-Server-Leaving", "1"};
        log_event(u, "parts", id);
    }
    return count;
}

static void job_free(job_t* job) {
    upstream_t* u = job->upstream;
    cw_heap_remove(&u->queue, (uint32_t)(job - u->jobs));
    ev_timer_stop(u->standin.loop, &job->timer);
    u->running -= job->is_running ? 1 : 0;
    *job = (job_t){0};
}

static void on_call_done(struct ev_loop* loop, ev_timer* w, int events);

static void on_crash(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    job_t* job = w->data;
    log_job_event(job->upstream, "died", job);
    cw_lines_shutdown(&job->upstream->lines);
    _exit(CRASH_EXIT_STATUS);
}

static void begin_job(upstream_t* u, job_t* job) {
    job->is_running = job->has_begun = true;
    u->running++;
    log_begin(u, job);
    if (u->prefill_us <= 0 || job->is_query_of_death) {
        double ms = job->is_query_of_death ? CRASH_DELAY_MS : u->call_ms * u->slowdown;
        ev_timer_init(&job->timer, job->is_query_of_death ? on_crash : on_call_done, ms / 1000.0, 0.0);
        job->timer.data = job;
        ev_timer_start(u->standin.loop, &job->timer);
    }
}

static job_t* next_prefill(upstream_t* u) {
    job_t* first = NULL;
    for (uint32_t i = 0; i < MAX_JOBS; i++) {
        job_t* job = &u->jobs[i];
        if (job->is_used && job->is_running && job->prefill_left && (!first || job->priority < first->priority)) {
            first = job;
        }
    }
    return first;
}

static uint32_t prefill_chunk(const job_t* job) {
    return job && job->prefill_left < CHUNK_TOKENS ? job->prefill_left : job ? CHUNK_TOKENS : 0;
}

static void admit(upstream_t* u) {
    while (u->running < u->slots && u->queue.count) {
        uint32_t i = cw_heap_top(&u->queue);
        cw_heap_remove(&u->queue, i);
        begin_job(u, &u->jobs[i]);
    }
    if (u->prefill_us > 0 && u->running && !ev_is_active(&u->step)) {
        uint32_t chunk = prefill_chunk(next_prefill(u));
        double ms = STEP_MS + STEP_PER_REQUEST_MS * u->running + chunk * u->prefill_us / 1000.0;
        ev_timer_set(&u->step, ms * u->slowdown / 1000.0, 0.0);
        ev_timer_start(u->standin.loop, &u->step);
    }
}

static void end_job(upstream_t* u, job_t* job) {
    log_job_event(u, "end", job);
    job_free(job);
    admit(u);
}

static void on_call_done(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    job_t* job = w->data;
    char body[80];
    int size = snprintf(body, sizeof(body), "ran %s", job->id);
    char rate_text[PUSHBACK_TEXT_MAX];
    cw_header_t headers[HEADERS_MAX] = {{"Chalkway-Request-Id", job->id}};
    uint32_t count = add_pushback(job->upstream, job->id, rate_text, headers, 1);
    if (job->upstream->is_unframed) {
        cw_exchange_stream_unframed(job->x, 200, headers, count);
        cw_exchange_push(job->x, body, (size_t)size);
        cw_exchange_finish(job->x, true);
    } else {
        cw_exchange_reply(job->x, 200, headers, count, body, (size_t)size);
    }
    end_job(job->upstream, job);
}

static void send_event(job_t* job) {
    char event[160];
    job->events_sent++;
    int n = snprintf(event, sizeof(event), "%sid: %u\ndata: %016llx%s\n%s", job->is_in_event ? "\n" : "",
                     job->events_sent, (unsigned long long)XXH64(job->stream, strlen(job->stream), job->events_sent),
                     job->run, job->is_unframed ? "" : "\n");
    job->is_in_event = job->is_unframed;
    cw_exchange_push(job->x, event, (size_t)n);
}

static void send_endless(job_t* job) {
    char bytes[4096];
    memset(bytes, 'x', sizeof(bytes));
    if (cw_exchange_pending(job->x) < sizeof(bytes)) {
        cw_exchange_push(job->x, bytes, sizeof(bytes));
    }
}

/* Ends the response, or breaks it off inside an event. */
static void finish_stream(upstream_t* u, job_t* job, bool is_complete) {
    if (is_complete && job->is_in_event) {
        cw_exchange_push(job->x, "\n", 1);
    }
    cw_exchange_finish(job->x, is_complete || job->is_unframed); /* without framing any end looks like this one */
    log_job_event(u, is_complete ? "end" : "gone", job);
    job_free(job);
}

static void on_step(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    upstream_t* u = w->data;
    job_t* prefilling = next_prefill(u);
    for (uint32_t i = 0; i < MAX_JOBS; i++) {
        job_t* job = &u->jobs[i];
        /* A query of death never completes. */
        bool is_complete = job->events_sent >= job->event_count && !job->is_query_of_death;
        bool is_flooding = job->is_endless && job->events_sent >= job->break_at_events;
        if (job->is_used && job->is_running && !job->prefill_left && job != prefilling && !is_complete &&
            !is_flooding) {
            send_event(job);
            is_complete = job->events_sent >= job->event_count && !job->is_query_of_death;
        }
        bool is_broken_off = job->break_at_events && job->events_sent >= job->break_at_events && !is_complete;
        if (is_broken_off && job->is_endless && u->is_endless && job->is_used && job->is_running) {
            send_endless(job);
        } else if (job->is_used && job->is_running && !job->prefill_left && (is_complete || is_broken_off)) {
            finish_stream(u, job, is_complete);
        }
    }
    if (prefilling) {
        prefilling->prefill_left -= prefill_chunk(prefilling);
    }
    admit(u);
}

static job_t* job_alloc(upstream_t* u) {
    for (uint32_t i = 0; i < MAX_JOBS; i++) {
        if (!u->jobs[i].is_used) {
            u->jobs[i] = (job_t){.is_used = true, .upstream = u};
            return &u->jobs[i];
        }
    }
    return NULL;
}

static void reject(upstream_t* u, cw_exchange_t* x, unsigned status, const char* id) {
    char rate_text[PUSHBACK_TEXT_MAX];
    cw_header_t headers[HEADERS_MAX] = {{"Chalkway-Not-Run", "1"}, {"Chalkway-Request-Id", id}};
    uint32_t count = add_pushback(u, id, rate_text, headers, 2);
    cw_exchange_reply(x, status, headers, count, "", 0);
}

static bool is_strained(const upstream_t* u) {
    return u->reject_limit >= 0 && standin_now_ms() >= u->strained_from_ms + STRAIN_DELAY_MS;
}

/* Counts a rejection for lack of room; under strain, ends the process when there were too many within a second. */
static void count_rejection(upstream_t* u) {
    int64_t now_ms = standin_now_ms();
    uint32_t recent = 0;
    u->rejected_ms[u->rejection_count++ % REJECTIONS_MAX] = now_ms;
    for (uint32_t i = 0; i < REJECTIONS_MAX; i++) {
        recent += u->rejected_ms[i] && now_ms - u->rejected_ms[i] < 1000;
    }
    if (is_strained(u) && recent > (uint32_t)u->reject_limit) {
        log_event(u, "fell", "-");
        cw_lines_shutdown(&u->lines);
        _exit(CRASH_EXIT_STATUS);
    }
}

/* Rejects the request with 503 and Retry-After. */
static void reject_with_backoff(upstream_t* u, cw_exchange_t* x, const char* id) {
    char line[160];
    char retry_after[24];
    char rate_text[PUSHBACK_TEXT_MAX];
    snprintf(retry_after, sizeof(retry_after), "%.3f", u->backoff_s);
    cw_header_t headers[HEADERS_MAX] = {
        {"Chalkway-Not-Run", "1"}, {"Chalkway-Request-Id", id}, {"Retry-After", retry_after}};
    uint32_t count = add_pushback(u, id, rate_text, headers, 3);
    cw_exchange_reply(x, 503, headers, count, "", 0);
    snprintf(line, sizeof(line), "U %" PRId64 " away %s %s %.0f", standin_now_ms(), id, u->id, u->backoff_s * 1000);
    cw_lines_add(&u->lines, line);
}

static bool has_deadly_part(cw_exchange_t* x) {
    static const char prefix[] = "dead";
    const char* part = cw_exchange_header(x, "Chalkway-Prompt-Parts");
    while (part && strchr(part, ',')) {
        if (strncmp(part, prefix, sizeof(prefix) - 1) == 0) {
            return true;
        }
        part = strchr(part, ',') + 1;
    }
    return false;
}

static void handle_request(upstream_t* u, cw_exchange_t* x) {
    const char* id = cw_exchange_header(x, "Chalkway-Request-Id");
    const char* server = cw_exchange_header(x, "Chalkway-Server");
    const char* tokens = cw_exchange_header(x, "Chalkway-Tokens");
    const char* priority = cw_exchange_header(x, "Chalkway-Priority");
    const char* after = cw_exchange_header(x, "Last-Event-Id");
    if (server && strcmp(server, u->id) != 0) {
        reject(u, x, 421, id ? id : "");
        return;
    }
    if (id) {
        log_event(u, "came", id);
    }
    if (id && u->backoff_s > 0 && ++u->backoff_requests % 2) {
        reject_with_backoff(u, x, id);
        return;
    }
    uint32_t queue_max = is_strained(u) ? STRAIN_QUEUE : u->queue_max;
    job_t* job = id && u->queue.count < queue_max ? job_alloc(u) : NULL;
    if (!job) {
        count_rejection(u);
        reject(u, x, 503, id ? id : "");
        return;
    }
    job->x = x;
    cw_copy(job->id, sizeof(job->id), id);
    const char* resumes = cw_exchange_header(x, "Chalkway-Resumes");
    snprintf(job->stream, sizeof(job->stream), "%s/%s", resumes ? resumes : id, u->version);
    job->priority = priority ? (uint32_t)strtoul(priority, NULL, 10) : PRIORITY_LOWEST;
    if (tokens) {
        sscanf(tokens, "%u,%u", &job->tokens, &job->event_count);
    }
    job->prefill_left = job->tokens;
    job->events_sent = after ? (uint32_t)strtoul(after, NULL, 10) : 0;
    if (u->names_runs) {
        snprintf(job->run, sizeof(job->run), " %s-%d-%u %u", u->id, (int)getpid(), ++u->run_count, job->events_sent);
    }
    cw_exchange_set_data(x, job);
    size_t size = 0;
    job->is_query_of_death = strncmp(cw_exchange_body(x, &size), "deadly", strlen("deadly")) == 0 || has_deadly_part(x);
    if (job->is_query_of_death) {
        log_job_event(u, "reach", job);
    }
    if (u->prefill_us > 0) {
        char rate_text[PUSHBACK_TEXT_MAX];
        cw_header_t headers[HEADERS_MAX] = {{"Content-Type", "text/event-stream"}, {"Chalkway-Request-Id", job->id}};
        uint32_t count = add_pushback(u, job->id, rate_text, headers, 2);
        job->is_unframed = u->is_unframed;
        if (u->is_unframed || u->is_endless) {
            job->break_at_events = ++u->stream_count % BREAK_ONE_IN ? 0 : (job->event_count + 1) / 2;
            job->is_endless = u->is_endless && job->break_at_events;
        }
        if (job->is_unframed) {
            cw_exchange_stream_unframed(x, 200, headers, count);
        } else {
            cw_exchange_stream(x, 200, headers, count);
        }
    }
    cw_heap_set(&u->queue, (uint32_t)(job - u->jobs), job->priority * 1e9 + u->arrival_count++);
    admit(u);
}

static void on_request(cw_exchange_t* x, void* user) {
    upstream_t* u = user;
    const char* path = cw_exchange_path(x);
    if (strcmp(path, "/health") == 0) {
        const cw_header_t headers[] = {{"Chalkway-Server-Id", u->id}};
        cw_exchange_reply(x, 200, headers, 1, "", 0);
    } else if (strcmp(path, "/admin/set") == 0) {
        double advertised_per_s = standin_number_arg(x, "limit", u->advertised_per_s);
        if (advertised_per_s != u->advertised_per_s) {
            char line[120];
            u->advertised_per_s = advertised_per_s;
            snprintf(line, sizeof(line), "U %" PRId64 " rate - %s %.3f", standin_now_ms(), u->id, advertised_per_s);
            cw_lines_add(&u->lines, line);
        }
        u->slowdown = standin_number_arg(x, "slow", u->slowdown);
        u->backoff_s = standin_number_arg(x, "rest", u->backoff_s);
        int reject_limit = (int)standin_number_arg(x, "rejects", u->reject_limit);
        if (reject_limit != u->reject_limit) {
            u->reject_limit = reject_limit < REJECTIONS_MAX ? reject_limit : REJECTIONS_MAX - 1;
            u->strained_from_ms = standin_now_ms();
        }
        u->is_unframed = standin_number_arg(x, "unframed", u->is_unframed) > 0;
        u->is_endless = standin_number_arg(x, "endless", u->is_endless) > 0;
        u->is_leaving = u->is_leaving || standin_number_arg(x, "leaving", 0) > 0;
        standin_reply_json(x, 200, "{}");
    } else {
        handle_request(u, x);
    }
}

static void on_caller_closed(cw_exchange_t* x, void* user) {
    upstream_t* u = user;
    job_t* job = cw_exchange_data(x);
    if (job && job->is_used && job->x == x) {
        if (job->has_begun) {
            log_job_event(u, "gone", job);
        }
        job_free(job);
        admit(u);
    }
}

static bool has_jobs(const upstream_t* u) {
    for (uint32_t i = 0; i < MAX_JOBS; i++) {
        if (u->jobs[i].is_used) {
            return true;
        }
    }
    return false;
}

static error_t parse_option(int key, char* arg, struct argp_state* state) {
    upstream_t* u = state->input;
    switch (key) {
        case 'i':
            u->id = arg;
            return 0;
        case 'v':
            u->version = arg;
            return 0;
        case 'a':
            u->address = arg;
            return 0;
        case 'r':
            u->names_runs = true;
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
        {"id", 'i', "ID", 0, "id of this incarnation of the server", 0},
        {"version", 'v', "TEXT", 0, "version of its software, default 1", 0},
        {"address", 'a', "IP:PORT", 0, "listen address, default 127.0.0.1:0", 0},
        {"runs", 'r', NULL, 0, "events name the run that sent them", 0},
        {"slots", 's', "N", 0, "concurrent requests, default 8", 0},
        {"queue", 'q', "N", 0, "queue length, default 25", 0},
        {"prefill", 'p', "US", 0, "engine: prefill time per prompt token", 0},
        {"ms", 'm', "MS", 0, "service: duration of a call, default 50", 0},
        {0},
    };
    const struct argp argp = {
        .options = options, .parser = parse_option, .doc = "Stand-in for a server behind a gateway."};
    static upstream_t upstream = {.id = "s",
                                  .address = "127.0.0.1:0",
                                  .version = "1",
                                  .slots = 8,
                                  .queue_max = 25,
                                  .call_ms = 50,
                                  .slowdown = 1,
                                  .advertised_per_s = -1,
                                  .reject_limit = -1};
    upstream_t* u = &upstream;
    argp_parse(&argp, argc, argv, 0, NULL, u);
    u->queue = cw_heap_setup(MAX_JOBS, NULL);
    if (!standin_setup(&u->standin, &(cw_httpd_desc_t){.address = u->address,
                                                       .on_request = on_request,
                                                       .on_caller_closed = on_caller_closed,
                                                       .user_data = u})) {
        return 1;
    }
    cw_lines_setup(&u->lines, u->standin.loop, 1, LINES_MAX_BYTES);
    ev_timer_init(&u->step, on_step, 0.0, 0.0);
    u->step.data = u;
    ev_run(u->standin.loop, 0);
    cw_lines_shutdown(&u->lines);
    if (has_jobs(u)) {
        _exit(0); /* libmicrohttpd can't be stopped while responses wait for data */
    }
    cw_httpd_shutdown(u->standin.http);
    cw_heap_shutdown(&u->queue);
    return 0;
}
