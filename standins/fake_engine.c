/*
    fake-engine: stand-in for a model engine with continuous batching.

    POST /v1/chat/completions, /v1/completions
        The prompt contains "id=ID len=N". The response has N tokens, each derived from ID and its position, so that
        the caller can verify every byte. With "stream": true they are sent as events, followed by "[DONE]". max_tokens
        limits N. Chalkway-Priority orders the queue; Chalkway-Resume-From: K starts the response at token K. Streams
        state the software version in Chalkway-Version.
    GET  /v1/load       {"running", "waiting", "draining", "version"}; running is --lag old, the others are current
    POST /admin/set?step_ms=X&drain=0|1&crash_after=N&lag_ms=N&cut_after=N&endless_after=N&unframed=0|1&version=N
                   &cut_at_end=1&hang_at_end=1&fail_resumed=1&unversioned=0|1
        crash_after: the process exits after N more steps of single requests, that is tokens or prefill steps.
        cut_after: the next stream to reach N tokens is broken off there.
        endless_after: the next stream to reach N tokens goes on with bytes that end no event, until it is closed.
        version: of its software, default 0, stated as "vN"; tokens of other versions begin with "vN-". Requests that
        run keep theirs.
        cut_at_end: the next stream that ends is broken off right after its end event.
        hang_at_end: the next stream that ends stays open after its end event, and an event follows.
        fail_resumed: the next resumed request is answered with status 500 and text with an empty line.
        unversioned: streams and load reports don't state the version.
        unframed: streams have no chunks and end with their connection, which is closed also where one is broken off.
    GET  /admin/stats   requests; load reports; tokens produced, of these for callers that closed; highest number of
   running requests

    A message before the last one that begins with "deadly" is a part that crashes engines: the process exits when it
    begins to write a response to a prompt with it.

    All running requests advance by one token per step. A step takes step_ms plus batch_us for each running request.
    Before its first token a prompt takes prefill_us per token, unless its first PREFIX_CHARS are in the prefix cache.
*/
#include <argp.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "../chalkway_heap.h"
#include "../io/buffer.h"
#include "standin.h"

#define MAX_JOBS 4096
#define PREFIX_CHARS 256
#define CACHE_ENTRIES 64
#define LOAD_SAMPLES 64
#define SAMPLE_INTERVAL_MS 100

typedef struct job_t {
    cw_exchange_t* x;
    bool is_used, is_running, is_streaming, has_deadly_part;
    bool is_endless; /* sends bytes that are no event until its connection is closed */
    char id[64];
    uint32_t token_count, tokens_sent, sent_from;
    uint32_t version;     /* of the software when the request arrived */
    double prefill_steps; /* prefill steps left before the first token */
    cw_buffer_t text;     /* response so far, unless streamed */
} job_t;

typedef struct engine_t {
    standin_t standin;
    uint32_t slots, version;
    double step_ms, batch_us, prefill_us;
    job_t jobs[MAX_JOBS];
    cw_heap_t queue; /* waiting jobs by priority, then arrival */
    double arrival_count;
    uint32_t running, max_running;
    uint64_t request_count, report_count, total_tokens, wasted_tokens;
    bool is_draining, is_unframed, is_unversioned, cuts_at_end, hangs_at_end, fails_resumed;
    int64_t crash_after, cut_after, endless_after; /* negative: not set */
    uint64_t endless_bytes;
    uint64_t cache[CACHE_ENTRIES];
    uint32_t next_cache_entry;
    uint32_t report_lag_ms;
    uint32_t samples[LOAD_SAMPLES]; /* ring buffer: number of running jobs, every SAMPLE_INTERVAL_MS */
    uint32_t next_sample;
    double step_due_s; /* loop time at which the current step ends */
    ev_timer step, sample;
} engine_t;

/* -- jobs ----------------------------------------------------------------- */

/* Writes token k of the response; returns its length. */
static int write_token(char out[32], const char* id, uint32_t version, uint32_t k) {
    unsigned word = (unsigned)(XXH64(id, strlen(id), k) % 100000);
    return version ? snprintf(out, 32, "v%u-%05u ", version, word) : snprintf(out, 32, "w%05u ", word);
}

static void job_free(engine_t* e, job_t* job) {
    cw_heap_remove(&e->queue, (uint32_t)(job - e->jobs));
    e->running -= job->is_running ? 1 : 0;
    cw_buffer_free(&job->text);
    *job = (job_t){0};
}

/* Returns whether the prefix is cached; if it is not, caches it in place of the oldest entry. */
static bool cache_has_or_add(engine_t* e, uint64_t prefix) {
    for (uint32_t i = 0; i < CACHE_ENTRIES; i++) {
        if (e->cache[i] == prefix) {
            return true;
        }
    }
    e->cache[e->next_cache_entry++ % CACHE_ENTRIES] = prefix;
    return false;
}

static double step_s(const engine_t* e) {
    return (e->step_ms + e->running * e->batch_us / 1000.0) / 1000.0;
}

static void admit(engine_t* e) {
    while (e->running < e->slots && e->queue.count) {
        uint32_t i = cw_heap_top(&e->queue);
        cw_heap_remove(&e->queue, i);
        e->jobs[i].is_running = true;
        e->running++;
    }
    e->max_running = e->running > e->max_running ? e->running : e->max_running;
    if (e->running && !ev_is_active(&e->step)) {
        /* A step starts at the due time of the previous one, so that timer delays do not accumulate. */
        double now_s = ev_now(e->standin.loop);
        double begin_s = now_s - e->step_due_s < 0.01 ? e->step_due_s : now_s;
        e->step_due_s = begin_s + step_s(e);
        double wait_s = e->step_due_s - now_s;
        ev_timer_set(&e->step, wait_s > 0.0001 ? wait_s : 0.0001, 0.0);
        ev_timer_start(e->standin.loop, &e->step);
    }
}

static void job_finish(engine_t* e, job_t* job) {
    if (job->is_streaming) {
        static const char end[] = "data: [DONE]\n\n";
        cw_exchange_push(job->x, end, sizeof(end) - 1);
        if (e->hangs_at_end) {
            static const char extra[] = "data: {}\n\n";
            cw_exchange_push(job->x, extra, sizeof(extra) - 1);
            e->hangs_at_end = false;
            cw_exchange_set_data(job->x, NULL);
            job_free(e, job);
            return;
        }
        cw_exchange_finish(job->x, !e->cuts_at_end);
        e->cuts_at_end = false;
    } else {
        json_t* root = json_pack("{s:s,s:[{s:i,s:{s:s,s:s},s:s}],s:{s:i}}", "object", "chat.completion", "choices",
                                 "index", 0, "message", "role", "assistant", "content", cw_buffer_text(&job->text),
                                 "finish_reason", "stop", "usage", "completion_tokens", (int)job->token_count);
        char* text = json_dumps(root, JSON_COMPACT);
        standin_reply_json(job->x, 200, text);
        free(text);
        json_decref(root);
    }
    job_free(e, job);
}

static void job_send_token(engine_t* e, job_t* job) {
    char token[32];
    int n = write_token(token, job->id, job->version, job->tokens_sent);
    job->tokens_sent++;
    e->total_tokens++;
    if (job->is_streaming) {
        char event[128];
        n = snprintf(event, sizeof(event), "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s\"}}]}\n\n",
                     token);
        cw_exchange_push(job->x, event, (size_t)n);
    } else {
        cw_buffer_add(&job->text, token, (size_t)n);
    }
}

static void step_endless(engine_t* e, job_t* job) {
    static char bytes[16384];
    memset(bytes, 'x', sizeof(bytes));
    if (cw_exchange_pending(job->x) < sizeof(bytes)) {
        cw_exchange_push(job->x, bytes, sizeof(bytes));
        e->endless_bytes += sizeof(bytes);
    }
}

static void step_job(engine_t* e, job_t* job) {
    if (job->is_endless) {
        step_endless(e, job);
        return;
    }
    if (job->prefill_steps >= 1.0) {
        job->prefill_steps -= 1.0;
        return;
    }
    if (job->tokens_sent >= job->token_count) { /* the caller resumed after the last token */
        job_finish(e, job);
        return;
    }
    job_send_token(e, job);
    if (job->is_streaming && e->cut_after >= 0 && job->tokens_sent >= (uint64_t)e->cut_after) {
        e->cut_after = -1;
        cw_exchange_finish(job->x, e->is_unframed);
        job_free(e, job);
    } else if (job->is_streaming && e->endless_after >= 0 && job->tokens_sent >= (uint64_t)e->endless_after) {
        e->endless_after = -1;
        job->is_endless = true;
    } else if (job->tokens_sent >= job->token_count) {
        job_finish(e, job);
    }
}

static void on_step(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    engine_t* e = w->data;
    for (int i = 0; i < MAX_JOBS; i++) {
        if (e->jobs[i].is_used && e->jobs[i].is_running) {
            bool crashes_on_part = e->jobs[i].has_deadly_part && e->jobs[i].prefill_steps < 1;
            if (crashes_on_part || (e->crash_after >= 0 && e->crash_after-- == 0)) {
                _Exit(3);
            }
            step_job(e, &e->jobs[i]);
        }
    }
    admit(e);
}

/* -- requests ------------------------------------------------------------- */

static bool has_deadly_part(const json_t* messages) {
    static const char prefix[] = "deadly";
    for (size_t i = 0; i + 1 < json_array_size(messages); i++) {
        const char* text = json_string_value(json_object_get(json_array_get(messages, i), "content"));
        if (text && strncmp(text, prefix, sizeof(prefix) - 1) == 0) {
            return true;
        }
    }
    return false;
}

static bool parse_prompt(job_t* job, json_t* root, const char** prompt) {
    json_t* messages = json_object_get(root, "messages");
    job->has_deadly_part = has_deadly_part(messages);
    json_t* last = json_array_get(messages, json_array_size(messages) ? json_array_size(messages) - 1 : 0);
    json_t* content = messages ? json_object_get(last, "content") : json_object_get(root, "prompt");
    json_t* first = messages ? json_object_get(json_array_get(messages, 0), "content") : content;
    *prompt = json_string_value(first);
    const char* text = json_string_value(content);
    const char* id = text ? strstr(text, "id=") : NULL;
    const char* len = text ? strstr(text, "len=") : NULL;
    if (!id || !len || sscanf(id, "id=%63s", job->id) != 1 || sscanf(len, "len=%u", &job->token_count) != 1) {
        return false;
    }
    json_int_t max = json_integer_value(json_object_get(root, "max_tokens"));
    job->token_count = (max > 0 && max < job->token_count) ? (uint32_t)max : job->token_count;
    job->is_streaming = json_is_true(json_object_get(root, "stream"));
    return job->token_count > 0;
}

static job_t* job_alloc(engine_t* e) {
    for (int i = 0; i < MAX_JOBS; i++) {
        if (!e->jobs[i].is_used) {
            e->jobs[i] = (job_t){.is_used = true};
            return &e->jobs[i];
        }
    }
    return NULL;
}

static void begin_stream(const engine_t* e, cw_exchange_t* x) {
    char version[16];
    snprintf(version, sizeof(version), "v%u", e->version);
    const cw_header_t headers[] = {{"Content-Type", "text/event-stream"}, {"Chalkway-Version", version}};
    uint32_t count = e->is_unversioned ? 1 : 2;
    if (e->is_unframed) {
        cw_exchange_stream_unframed(x, 200, headers, count);
    } else {
        cw_exchange_stream(x, 200, headers, count);
    }
}

static void handle_completion(engine_t* e, cw_exchange_t* x) {
    size_t size = 0;
    const char* body = cw_exchange_body(x, &size);
    json_t* root = json_loadb(body, size, 0, NULL);
    job_t* job = e->is_draining ? NULL : job_alloc(e);
    const char* prompt = NULL;
    if (!job || !parse_prompt(job, root, &prompt)) {
        standin_reply_json(x, job ? 400 : 503, job ? "{\"error\":\"no id and len\"}" : "{\"error\":\"draining\"}");
        if (job) {
            job_free(e, job);
        }
        json_decref(root);
        return;
    }
    e->request_count++;
    job->x = x;
    job->version = e->version;
    const char* resume_from = cw_exchange_header(x, "Chalkway-Resume-From");
    if (resume_from && e->fails_resumed) {
        static const char text[] = "internal error\n\nat step 1\n\n";
        e->fails_resumed = false;
        cw_exchange_reply(x, 500, NULL, 0, text, sizeof(text) - 1);
        job_free(e, job);
        json_decref(root);
        return;
    }
    job->tokens_sent = resume_from ? (uint32_t)strtoul(resume_from, NULL, 10) : 0;
    const char* priority = cw_exchange_header(x, "Chalkway-Priority");
    size_t len = strlen(prompt);
    if (!cache_has_or_add(e, XXH64(prompt, len < PREFIX_CHARS ? len : PREFIX_CHARS, 0))) {
        job->prefill_steps = (double)size / 4 * e->prefill_us / 1000.0 / e->step_ms;
    }
    cw_exchange_set_data(x, job);
    if (job->is_streaming) {
        begin_stream(e, x);
    }
    json_decref(root);
    cw_heap_set(&e->queue, (uint32_t)(job - e->jobs),
                (priority ? strtod(priority, NULL) : 3) * 1e9 + e->arrival_count++);
    admit(e);
}

static void reply_load(engine_t* e, cw_exchange_t* x) {
    uint32_t samples_back = e->report_lag_ms / SAMPLE_INTERVAL_MS;
    samples_back = samples_back < LOAD_SAMPLES ? samples_back : LOAD_SAMPLES - 1;
    uint32_t running =
        samples_back ? e->samples[(e->next_sample + LOAD_SAMPLES - samples_back) % LOAD_SAMPLES] : e->running;
    char reply[128];
    char version[32] = "";
    if (!e->is_unversioned) {
        snprintf(version, sizeof(version), ",\"version\":\"v%u\"", e->version);
    }
    e->report_count++;
    snprintf(reply, sizeof(reply), "{\"running\":%u,\"waiting\":%u,\"draining\":%s%s}", running, e->queue.count,
             e->is_draining ? "true" : "false", version);
    standin_reply_json(x, 200, reply);
}

static void on_request(cw_exchange_t* x, void* user) {
    engine_t* e = user;
    const char* path = cw_exchange_path(x);
    if (strcmp(path, "/v1/load") == 0) {
        reply_load(e, x);
    } else if (strcmp(path, "/admin/stats") == 0) {
        char reply[224];
        snprintf(
            reply, sizeof(reply),
            "{\"requests\":%llu,\"reports\":%llu,\"tokens\":%llu,\"wasted\":%llu,\"most\":%u,\"endless_bytes\":%llu}",
            (unsigned long long)e->request_count, (unsigned long long)e->report_count,
            (unsigned long long)e->total_tokens, (unsigned long long)e->wasted_tokens, e->max_running,
            (unsigned long long)e->endless_bytes);
        standin_reply_json(x, 200, reply);
    } else if (strcmp(path, "/admin/set") == 0) {
        e->step_ms = standin_number_arg(x, "step_ms", e->step_ms);
        e->version = (uint32_t)standin_number_arg(x, "version", e->version);
        e->is_unframed = standin_number_arg(x, "unframed", e->is_unframed) != 0;
        e->is_unversioned = standin_number_arg(x, "unversioned", e->is_unversioned) != 0;
        e->hangs_at_end = standin_number_arg(x, "hang_at_end", e->hangs_at_end) != 0;
        e->cuts_at_end = standin_number_arg(x, "cut_at_end", e->cuts_at_end) != 0;
        e->fails_resumed = standin_number_arg(x, "fail_resumed", e->fails_resumed) != 0;
        e->is_draining = standin_number_arg(x, "drain", e->is_draining) != 0;
        e->crash_after = (int64_t)standin_number_arg(x, "crash_after", (double)e->crash_after);
        e->cut_after = (int64_t)standin_number_arg(x, "cut_after", (double)e->cut_after);
        e->endless_after = (int64_t)standin_number_arg(x, "endless_after", (double)e->endless_after);
        e->report_lag_ms = (uint32_t)standin_number_arg(x, "lag_ms", e->report_lag_ms);
        standin_reply_json(x, 200, "{}");
    } else if (strncmp(path, "/v1/", 4) == 0) {
        handle_completion(e, x);
    } else {
        standin_reply_json(x, 404, "{}");
    }
}

static void on_caller_closed(cw_exchange_t* x, void* user) {
    engine_t* e = user;
    job_t* job = cw_exchange_data(x);
    if (job && job->is_used && job->x == x) {
        e->wasted_tokens += job->tokens_sent;
        job_free(e, job);
        admit(e);
    }
}

static void on_sample(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    engine_t* e = w->data;
    e->samples[e->next_sample++ % LOAD_SAMPLES] = e->running;
    e->next_sample %= LOAD_SAMPLES;
}

/* -- start ---------------------------------------------------------------- */

typedef struct args_t {
    const char* address;
    uint32_t slots, report_lag_ms, version;
    double step_ms, batch_us, prefill_us;
} args_t;

static error_t parse_option(int key, char* arg, struct argp_state* state) {
    args_t* args = state->input;
    switch (key) {
        case 'a':
            args->address = arg;
            return 0;
        case 's':
            args->slots = (uint32_t)strtoul(arg, NULL, 10);
            return 0;
        case 't':
            args->step_ms = strtod(arg, NULL);
            return 0;
        case 'b':
            args->batch_us = strtod(arg, NULL);
            return 0;
        case 'p':
            args->prefill_us = strtod(arg, NULL);
            return 0;
        case 'v':
            args->version = (uint32_t)strtoul(arg, NULL, 10);
            return 0;
        case 'l':
            args->report_lag_ms = (uint32_t)strtoul(arg, NULL, 10);
            return 0;
        default:
            return ARGP_ERR_UNKNOWN;
    }
}

int main(int argc, char** argv) {
    static const struct argp_option options[] = {
        {"address", 'a', "IP:PORT", 0, "listen address, default 127.0.0.1:0", 0},
        {"slots", 's', "N", 0, "concurrent requests, default 8", 0},
        {"step", 't', "MS", 0, "duration of a step, default 10", 0},
        {"batch", 'b', "US", 0, "added to a step per running request, default 100", 0},
        {"prefill", 'p', "US", 0, "prefill time per uncached prompt token, default 50", 0},
        {"lag", 'l', "MS", 0, "age of load reports, default 500", 0},
        {"version", 'v', "N", 0, "of its software, default 0", 0},
        {0},
    };
    const struct argp argp = {.options = options, .parser = parse_option, .doc = "Stand-in for a model engine."};
    args_t args = {
        .address = "127.0.0.1:0", .slots = 8, .report_lag_ms = 500, .step_ms = 10, .batch_us = 100, .prefill_us = 50};
    argp_parse(&argp, argc, argv, 0, NULL, &args);
    static engine_t engine;
    engine_t* e = &engine;
    e->slots = args.slots;
    e->version = args.version;
    e->report_lag_ms = args.report_lag_ms;
    e->step_ms = args.step_ms;
    e->batch_us = args.batch_us;
    e->prefill_us = args.prefill_us;
    e->crash_after = e->cut_after = e->endless_after = -1;
    e->queue = cw_heap_setup(MAX_JOBS, NULL);
    if (!standin_setup(&e->standin, &(cw_httpd_desc_t){.address = args.address,
                                                       .on_request = on_request,
                                                       .on_caller_closed = on_caller_closed,
                                                       .user_data = e})) {
        return 1;
    }
    ev_timer_init(&e->step, on_step, 0.0, 0.0);
    ev_timer_init(&e->sample, on_sample, SAMPLE_INTERVAL_MS / 1000.0, SAMPLE_INTERVAL_MS / 1000.0);
    e->step.data = e->sample.data = e;
    ev_timer_start(e->standin.loop, &e->sample);
    standin_run(&e->standin);
    cw_heap_shutdown(&e->queue);
    return 0;
}
