/*
    fake-service: stand-in for a plain application service.

    Every other path is a call: up to --slots run at once, the others wait in order of arrival. After --ms the response
    is {"ran": N, "echo": BODY}, where N is how many times this call has run. Calls are identified by the member "call"
    of the JSON body.

    GET  /admin/stats        runs; repeated runs of a call; runs whose caller closed; highest number of running calls
    POST /admin/set?ms=N&reset_after=N&drain=0|1
                             reset_after: the next N calls run, but their connection is broken off without a response.
                             drain: new calls are answered 503.
    GET  /v1/load            {"running", "draining"}
*/
#include <argp.h>
#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../chalkway_map.h"
#include "standin.h"

#define MAX_CALLS 1000000

typedef struct job_t {
    cw_exchange_t* x; /* NULL: the caller closed the connection */
    ev_timer timer;
    uint32_t run_number;
    bool is_reset;
    struct job_t* next; /* next in the queue */
} job_t;

typedef struct service_t {
    standin_t standin;
    double call_ms;
    uint32_t slots;
    job_t *queue_head, *queue_tail; /* waiting calls */
    uint32_t running, max_running, resets_left;
    uint64_t runs, repeated_runs, caller_closed_count;
    bool is_draining;
    cw_map_t calls; /* hash of the call's name -> number of runs */
} service_t;

static uint32_t count_run(service_t* s, const char* call) {
    uint64_t id = cw_name_id(call);
    uint32_t runs = cw_map_get(&s->calls, id);
    runs = runs == CW_MAP_NONE ? 1 : runs + 1;
    if (s->calls.count < MAX_CALLS) {
        cw_map_put(&s->calls, id, runs);
    }
    s->runs++;
    s->repeated_runs += runs > 1;
    return runs;
}

static void on_job_done(struct ev_loop* loop, ev_timer* w, int events);

/* Starts waiting calls while slots are free. A call whose caller closed the connection before it ran is dropped. */
static void start_queued_jobs(service_t* s) {
    while (s->queue_head && s->running < s->slots) {
        job_t* job = s->queue_head;
        s->queue_head = job->next;
        if (!job->x) {
            free(job);
            continue;
        }
        json_t* root = json_loads(cw_exchange_body(job->x, NULL), 0, NULL);
        const char* call = json_string_value(json_object_get(root, "call"));
        job->run_number = call ? count_run(s, call) : 0;
        s->runs += call ? 0 : 1;
        json_decref(root);
        s->running++;
        s->max_running = s->running > s->max_running ? s->running : s->max_running;
        ev_timer_init(&job->timer, on_job_done, s->call_ms / 1000.0, 0.0);
        job->timer.data = job;
        ev_timer_start(s->standin.loop, &job->timer);
    }
}

static void finish_job(service_t* s, job_t* job) {
    cw_exchange_t* x = job->x;
    s->running--;
    if (!x) {
        s->caller_closed_count++;
    } else if (job->is_reset) {
        cw_exchange_stream(x, 200, NULL, 0);
        cw_exchange_finish(x, false);
    } else {
        json_t* root = json_pack("{s:i,s:s}", "ran", (int)job->run_number, "echo", cw_exchange_body(x, NULL));
        char* text = json_dumps(root, JSON_COMPACT);
        standin_reply_json(x, 200, text);
        free(text);
        json_decref(root);
    }
    free(job);
    start_queued_jobs(s);
}

static void on_job_done(struct ev_loop* loop, ev_timer* w, int events) {
    (void)events;
    finish_job(ev_userdata(loop), w->data);
}

static void enqueue(service_t* s, cw_exchange_t* x) {
    job_t* job = cw_alloc(NULL, 1, sizeof(*job));
    job->x = x;
    job->is_reset = s->resets_left > 0;
    s->resets_left -= s->resets_left ? 1 : 0;
    cw_exchange_set_data(x, job);
    if (s->queue_head) {
        s->queue_tail->next = job;
    } else {
        s->queue_head = job;
    }
    s->queue_tail = job;
    start_queued_jobs(s);
}

static void on_request(cw_exchange_t* x, void* user) {
    service_t* s = user;
    const char* path = cw_exchange_path(x);
    char reply[192];
    if (strcmp(path, "/admin/stats") == 0) {
        snprintf(reply, sizeof(reply), "{\"runs\":%llu,\"repeated\":%llu,\"left\":%llu,\"most\":%u}",
                 (unsigned long long)s->runs, (unsigned long long)s->repeated_runs,
                 (unsigned long long)s->caller_closed_count, s->max_running);
        standin_reply_json(x, 200, reply);
    } else if (strcmp(path, "/admin/set") == 0) {
        s->call_ms = standin_number_arg(x, "ms", s->call_ms);
        s->resets_left = (uint32_t)standin_number_arg(x, "reset_after", s->resets_left);
        s->is_draining = standin_number_arg(x, "drain", s->is_draining) != 0;
        standin_reply_json(x, 200, "{}");
    } else if (strcmp(path, "/v1/load") == 0) {
        snprintf(reply, sizeof(reply), "{\"running\":%u,\"draining\":%s}", s->running,
                 s->is_draining ? "true" : "false");
        standin_reply_json(x, 200, reply);
    } else if (s->is_draining) {
        standin_reply_json(x, 503, "{\"error\":\"draining\"}");
    } else {
        enqueue(s, x);
    }
}

static void on_caller_closed(cw_exchange_t* x, void* user) {
    (void)user;
    job_t* job = cw_exchange_data(x);
    if (job) {
        job->x = NULL;
    }
}

typedef struct args_t {
    const char* address;
    double call_ms;
    uint32_t slots;
} args_t;

static error_t parse_option(int key, char* arg, struct argp_state* state) {
    args_t* args = state->input;
    switch (key) {
        case 'a':
            args->address = arg;
            return 0;
        case 'm':
            args->call_ms = strtod(arg, NULL);
            return 0;
        case 's':
            args->slots = (uint32_t)strtoul(arg, NULL, 10);
            return 0;
        default:
            return ARGP_ERR_UNKNOWN;
    }
}

int main(int argc, char** argv) {
    static const struct argp_option options[] = {
        {"address", 'a', "IP:PORT", 0, "listen address, default 127.0.0.1:0", 0},
        {"ms", 'm', "MS", 0, "duration of a call, default 10", 0},
        {"slots", 's', "N", 0, "concurrent calls, default 64", 0},
        {0},
    };
    const struct argp argp = {
        .options = options, .parser = parse_option, .doc = "Stand-in for a plain application service."};
    args_t args = {.address = "127.0.0.1:0", .call_ms = 10, .slots = 64};
    argp_parse(&argp, argc, argv, 0, NULL, &args);
    static service_t service;
    service.call_ms = args.call_ms;
    service.slots = args.slots;
    service.calls = cw_map_setup(MAX_CALLS, NULL);
    if (!standin_setup(&service.standin, &(cw_httpd_desc_t){.address = args.address,
                                                            .on_request = on_request,
                                                            .on_caller_closed = on_caller_closed,
                                                            .user_data = &service})) {
        return 1;
    }
    ev_set_userdata(service.standin.loop, &service);
    standin_run(&service.standin);
    cw_map_shutdown(&service.calls);
    return 0;
}
