/*
    fake-service: stand-in of a plain application service.

    Any other path: --slots calls run at once, the others wait in order. After --ms the body is answered as {"ran": N,
   "echo": BODY}, N the number of times this call ran; a call is known by the member "call" of its JSON body.

    GET  /admin/stats        runs, calls that ran more than once, most at once
    POST /admin/set?ms=N&reset_after=N&drain=0|1
                             reset_after: the next N requests run, then their connection is cut without an answer
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
    cw_exchange_t* x; /* NULL: the caller left */
    ev_timer timer;
    uint32_t run;
    bool cut;
    struct job_t* next; /* waits behind this one */
} job_t;

typedef struct service_t {
    standin_t standin;
    double ms;
    uint32_t slots;
    job_t *first, *last; /* waiting */
    uint32_t running, most, cut;
    uint64_t runs, repeated, left;
    bool draining;
    cw_map_t calls; /* call id -> runs */
} service_t;

static uint32_t count_run(service_t* s, const char* call) {
    uint64_t id = cw_name_id(call);
    uint32_t runs = cw_map_get(&s->calls, id);
    runs = runs == CW_MAP_NONE ? 1 : runs + 1;
    if (s->calls.count < MAX_CALLS) {
        cw_map_put(&s->calls, id, runs);
    }
    s->runs++;
    s->repeated += runs > 1;
    return runs;
}

static void on_job(struct ev_loop* loop, ev_timer* w, int events);

/* Starts waiting calls while there are slots. A call whose caller left before it ran is dropped. */
static void run_next(service_t* s) {
    while (s->first && s->running < s->slots) {
        job_t* job = s->first;
        s->first = job->next;
        if (!job->x) {
            free(job);
            continue;
        }
        json_t* root = json_loads(cw_exchange_body(job->x, NULL), 0, NULL);
        const char* call = json_string_value(json_object_get(root, "call"));
        job->run = call ? count_run(s, call) : 0;
        s->runs += call ? 0 : 1;
        json_decref(root);
        s->running++;
        s->most = s->running > s->most ? s->running : s->most;
        ev_timer_init(&job->timer, on_job, s->ms / 1000.0, 0.0);
        job->timer.data = job;
        ev_timer_start(s->standin.loop, &job->timer);
    }
}

static void finish(service_t* s, job_t* job) {
    cw_exchange_t* x = job->x;
    s->running--;
    if (!x) {
        s->left++;
    } else if (job->cut) {
        cw_exchange_stream(x, 200, NULL, 0);
        cw_exchange_finish(x, false);
    } else {
        json_t* root = json_pack("{s:i,s:s}", "ran", (int)job->run, "echo", cw_exchange_body(x, NULL));
        char* text = json_dumps(root, JSON_COMPACT);
        standin_reply(x, 200, text);
        free(text);
        json_decref(root);
    }
    free(job);
    run_next(s);
}

static void on_job(struct ev_loop* loop, ev_timer* w, int events) {
    (void)events;
    finish(ev_userdata(loop), w->data);
}

static void start(service_t* s, cw_exchange_t* x) {
    job_t* job = cw_alloc(NULL, 1, sizeof(*job));
    job->x = x;
    job->cut = s->cut > 0;
    s->cut -= s->cut ? 1 : 0;
    cw_exchange_set_data(x, job);
    if (s->first) {
        s->last->next = job;
    } else {
        s->first = job;
    }
    s->last = job;
    run_next(s);
}

static void on_request(cw_exchange_t* x, void* user) {
    service_t* s = user;
    const char* path = cw_exchange_path(x);
    char reply[192];
    if (strcmp(path, "/admin/stats") == 0) {
        snprintf(reply, sizeof(reply), "{\"runs\":%llu,\"repeated\":%llu,\"left\":%llu,\"most\":%u}",
                 (unsigned long long)s->runs, (unsigned long long)s->repeated, (unsigned long long)s->left, s->most);
        standin_reply(x, 200, reply);
    } else if (strcmp(path, "/admin/set") == 0) {
        s->ms = standin_arg(x, "ms", s->ms);
        s->cut = (uint32_t)standin_arg(x, "reset_after", s->cut);
        s->draining = standin_arg(x, "drain", s->draining) != 0;
        standin_reply(x, 200, "{}");
    } else if (strcmp(path, "/v1/load") == 0) {
        snprintf(reply, sizeof(reply), "{\"running\":%u,\"draining\":%s}", s->running, s->draining ? "true" : "false");
        standin_reply(x, 200, reply);
    } else if (s->draining) {
        standin_reply(x, 503, "{\"error\":\"draining\"}");
    } else {
        start(s, x);
    }
}

static void on_gone(cw_exchange_t* x, void* user) {
    (void)user;
    job_t* job = cw_exchange_data(x);
    if (job) {
        job->x = NULL;
    }
}

typedef struct args_t {
    const char* address;
    double ms;
    uint32_t slots;
} args_t;

static error_t parse_option(int key, char* arg, struct argp_state* state) {
    args_t* args = state->input;
    switch (key) {
        case 'a':
            args->address = arg;
            return 0;
        case 'm':
            args->ms = strtod(arg, NULL);
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
        {"address", 'a', "IP:PORT", 0, "to listen on, default 127.0.0.1:0", 0},
        {"ms", 'm', "MS", 0, "time of one call, default 10", 0},
        {"slots", 's', "N", 0, "calls at once, default 64", 0},
        {0},
    };
    const struct argp argp = {.options = options, .parser = parse_option, .doc = "Stand-in of a plain service."};
    args_t args = {.address = "127.0.0.1:0", .ms = 10, .slots = 64};
    argp_parse(&argp, argc, argv, 0, NULL, &args);
    static service_t service;
    service.ms = args.ms;
    service.slots = args.slots;
    service.calls = cw_map_setup(MAX_CALLS, NULL);
    if (!standin_setup(&service.standin, &(cw_httpd_desc_t){.address = args.address,
                                                            .on_request = on_request,
                                                            .on_gone = on_gone,
                                                            .user_data = &service})) {
        return 1;
    }
    ev_set_userdata(service.standin.loop, &service);
    standin_run(&service.standin);
    cw_map_shutdown(&service.calls);
    return 0;
}
