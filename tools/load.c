#include "load.h"

#include <jansson.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <time.h>
#include <xxhash.h>

#include "../io/buffer.h"
#include "../tests/rng.h"

#define MAX_ATTEMPTS 6
#define MIN_TOKENS 4
#define LOOKUP_TIMEOUT_MS 200
#define MAX_ADDRESSES 4
#define DEADLINE_GRACE_MS 3000 /* a request is cancelled this long after its deadline */
#define TOKEN_CHARS 7

typedef struct load_t load_t;

/* A simulated caller with its cached lookup response. */
typedef struct caller_t {
    load_t* load;
    char addresses[MAX_ADDRESSES][48];
    uint32_t count;
    char ticket[128];
    char ticket_address[48];
    double valid_until_s; /* expiry of the lookup response */
    bool is_lookup_pending;
    uint32_t attempts; /* lookups since the last successful one */
    char body[4096];
    size_t size;
} caller_t;

typedef struct request_t {
    load_t* load;
    const load_arrival_t* arrival;
    const load_class_t* class;
    load_class_result_t* result;
    caller_t* caller;
    char id[48];
    char idempotency_key[192]; /* key of the last attempt of a run-once call */
    char address[48];          /* host that issued the key's ticket */
    char body[256];
    cw_buffer_t response;
    double first_byte_s;
    uint32_t attempts;
    unsigned status;
    char outcome[16];
    uint32_t retry_after_ms;
    ev_timer timer;
    cw_call_t* call;
} request_t;

struct load_t {
    const load_desc_t* desc;
    struct ev_loop* loop;
    cw_client_t* client;
    load_arrival_t* plan;
    uint32_t count, next_index, open_count;
    caller_t* callers;
    ev_timer arrival_timer, tick_timer;
    double start_s;
    rng_t rng;
    cw_hist_t lateness_ms;
    load_result_t result;
};

static double now_s(void) {
    struct timespec ts;
    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static double uniform(rng_t* rng) {
    return ((double)rng_below(rng, 1U << 30) + 1.0) / (double)(1U << 30);
}

/* -- plan ----------------------------------------------------------------- */

static double rate_at_time(const load_class_t* c, double at_s) {
    double rate_per_s = 0;
    for (uint32_t i = 0; i < LOAD_MAX_PHASES; i++) {
        if ((i == 0 || c->phases[i].from_s > 0) && c->phases[i].from_s <= at_s) {
            rate_per_s = c->phases[i].rate_per_s;
        }
    }
    return rate_per_s;
}

static uint32_t draw_workspace(const load_desc_t* d, rng_t* rng) {
    double sum = 0;
    for (uint32_t i = 0; i < d->workspace_count; i++) {
        sum += d->workspaces[i].share;
    }
    double at = uniform(rng) * sum;
    for (uint32_t i = 0; i < d->workspace_count; i++) {
        at -= d->workspaces[i].share;
        if (at <= 0) {
            return i;
        }
    }
    return d->workspace_count - 1;
}

static uint32_t draw_token_count(const load_class_t* c, rng_t* rng) {
    double length = -log(uniform(rng)) * c->mean_tokens;
    double max = c->max_tokens > 0 ? c->max_tokens : 8 * c->mean_tokens;
    length = length > max ? max : length;
    return length < MIN_TOKENS ? MIN_TOKENS : (uint32_t)length;
}

static int compare_by_time(const void* a, const void* b) {
    double x = ((const load_arrival_t*)a)->at_s;
    double y = ((const load_arrival_t*)b)->at_s;
    return (x > y) - (x < y);
}

load_arrival_t* load_plan(const load_desc_t* d, uint32_t* count) {
    rng_t rng = {.state = d->seed};
    uint32_t capacity = 1024;
    uint32_t n = 0;
    load_arrival_t* plan = cw_alloc(NULL, capacity, sizeof(*plan));
    for (uint32_t c = 0; c < d->class_count; c++) {
        const double step_s = 0.001;
        uint32_t steps = (uint32_t)(d->duration_s / step_s);
        for (uint32_t step = 0; step < steps; step++) {
            double at = step * step_s;
            double expected = rate_at_time(&d->classes[c], at) * step_s;
            /* Rates above 1 per ms give several arrivals in a step. */
            while (expected > 0 && uniform(&rng) <= expected) {
                expected -= 1;
                if (n == capacity) {
                    capacity *= 2;
                    load_arrival_t* grown = realloc(plan, capacity * sizeof(*plan));
                    if (!grown) {
                        abort();
                    }
                    plan = grown;
                }
                plan[n++] =
                    (load_arrival_t){.at_s = at + uniform(&rng) * step_s,
                                     .class_index = c,
                                     .workspace = draw_workspace(d, &rng),
                                     .token_count = d->classes[c].model ? draw_token_count(&d->classes[c], &rng) : 0};
            }
        }
    }
    qsort(plan, n, sizeof(*plan), compare_by_time);
    *count = n;
    return plan;
}

/* -- lookups -------------------------------------------------------------- */

static void apply_lookup(caller_t* c) {
    json_t* root = json_loadb(c->body, c->size, 0, NULL);
    json_t* list = json_object_get(root, "addresses");
    if (json_array_size(list)) {
        c->count = 0;
        for (size_t i = 0; i < json_array_size(list) && i < MAX_ADDRESSES; i++) {
            cw_copy(c->addresses[c->count++], 48, json_string_value(json_array_get(list, i)));
        }
        cw_copy(c->ticket, sizeof(c->ticket), json_string_value(json_object_get(root, "ticket")));
        cw_copy(c->ticket_address, 48, json_string_value(json_object_get(root, "ticket_address")));
        c->valid_until_s = now_s() + (double)json_integer_value(json_object_get(root, "keep_ms")) / 1000.0;
        c->attempts = 0;
    }
    json_decref(root);
}

static bool on_lookup_data(void* user, const char* data, size_t size) {
    caller_t* c = user;
    if (c->size + size < sizeof(c->body)) {
        memcpy(c->body + c->size, data, size);
        c->size += size;
    }
    return true;
}

static void on_lookup_done(void* user, const cw_call_result_t* result) {
    caller_t* c = user;
    c->is_lookup_pending = false;
    c->attempts++;
    if (result->is_complete && result->status == 200) {
        apply_lookup(c);
    }
}

/* Renews the lookup response shortly before it expires. Asks one of the cached addresses; after two failed lookups, or
   without any address, a seed. */
static void refresh_lookup(caller_t* c) {
    load_t* l = c->load;
    if (c->is_lookup_pending || now_s() < c->valid_until_s - 0.2) {
        return;
    }
    uint32_t seeds = 0;
    while (l->desc->seeds[seeds]) {
        seeds++;
    }
    const char* address = (c->count && c->attempts < 2) ? c->addresses[(c->attempts + rng_below(&l->rng, 2)) % c->count]
                                                        : l->desc->seeds[rng_below(&l->rng, seeds)];
    char url[96];
    snprintf(url, sizeof(url), "http://%s/v1/lookup", address);
    c->is_lookup_pending = true;
    c->size = 0;
    cw_client_call(l->client, &(cw_call_desc_t){.url = url,
                                                .timeout_ms = LOOKUP_TIMEOUT_MS,
                                                .on_data = on_lookup_data,
                                                .on_done = on_lookup_done,
                                                .user_data = c});
}

/* -- responses ------------------------------------------------------------ */

/* Concatenates the contents of a stream's events in place; returns the length. */
static size_t join_stream(char* text) {
    static const char content_key[] = "\"content\":\"";
    char* out = text;
    for (char* at = strstr(text, content_key); at; at = strstr(at, content_key)) {
        at += sizeof(content_key) - 1;
        size_t len = strcspn(at, "\"");
        memmove(out, at, len);
        out += len;
        at += len;
    }
    return (size_t)(out - text);
}

static bool tokens_match(const request_t* req, const char* text, size_t size) {
    if (size != (size_t)req->arrival->token_count * TOKEN_CHARS) {
        return false;
    }
    for (uint32_t k = 0; k < req->arrival->token_count; k++) {
        char token[32];
        snprintf(token, sizeof(token), "w%05u ", (unsigned)(XXH64(req->id, strlen(req->id), k) % 100000));
        if (memcmp(text + (size_t)k * TOKEN_CHARS, token, TOKEN_CHARS) != 0) {
            return false;
        }
    }
    return true;
}

static bool response_matches(request_t* req) {
    if (!req->response.data) {
        return false;
    }
    if (req->class->is_stream) {
        bool has_done_event = strstr(req->response.data, "data: [DONE]") != NULL;
        return tokens_match(req, req->response.data, join_stream(req->response.data)) && has_done_event;
    }
    json_t* root = json_loadb(req->response.data, req->response.size, 0, NULL);
    bool is_match = false;
    if (req->class->model) {
        json_t* choice = json_array_get(json_object_get(root, "choices"), 0);
        const char* text = json_string_value(json_object_get(json_object_get(choice, "message"), "content"));
        is_match = text && tokens_match(req, text, strlen(text));
    } else {
        const char* echo = json_string_value(json_object_get(root, "echo"));
        is_match = echo && strcmp(echo, req->body) == 0;
    }
    json_decref(root);
    return is_match;
}

static void finish_request(request_t* req) {
    load_t* l = req->load;
    ev_timer_stop(l->loop, &req->timer);
    cw_buffer_free(&req->response);
    free(req);
    if (--l->open_count == 0 && l->next_index == l->count) {
        ev_break(l->loop, EVBREAK_ALL);
    }
}

static void count_delivered(request_t* req) {
    load_t* l = req->load;
    load_class_result_t* r = req->result;
    double latency_ms = (now_s() - l->start_s - req->arrival->at_s) * 1000;
    r->delivered++;
    r->in_time += latency_ms <= req->class->deadline_ms;
    r->tokens += req->arrival->token_count;
    l->result.workspace_tokens[req->arrival->workspace] += req->arrival->token_count;
    cw_hist_add(&r->total_ms, (uint32_t)latency_ms);
    if (req->first_byte_s > 0) {
        cw_hist_add(&r->first_ms, (uint32_t)((req->first_byte_s - l->start_s - req->arrival->at_s) * 1000));
    }
}

/* -- attempts ------------------------------------------------------------- */

static void send_request(request_t* req);

static void on_retry(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    send_request(w->data);
}

/* Schedules another attempt after wait_ms; false if the deadline or the limit of attempts does not allow one. */
static bool schedule_retry(request_t* req, uint32_t wait_ms) {
    load_t* l = req->load;
    double remaining_ms = req->class->deadline_ms - (now_s() - l->start_s - req->arrival->at_s) * 1000;
    if (req->attempts >= MAX_ATTEMPTS || wait_ms >= remaining_ms) {
        return false;
    }
    l->result.retries++;
    ev_timer_stop(l->loop, &req->timer);
    ev_timer_init(&req->timer, on_retry, wait_ms / 1000.0, 0.0);
    req->timer.data = req;
    ev_timer_start(l->loop, &req->timer);
    return true;
}

static void on_response_head(void* user, unsigned status, const char* type) {
    (void)type;
    request_t* req = user;
    req->first_byte_s = now_s();
    req->status = status;
    const char* outcome = cw_call_header(req->call, "Chalkway-Outcome");
    const char* retry = cw_call_header(req->call, "Retry-After");
    cw_copy(req->outcome, sizeof(req->outcome), outcome);
    req->retry_after_ms = retry ? (uint32_t)strtoul(retry, NULL, 10) * 1000 : 0;
}

static bool on_response_data(void* user, const char* data, size_t size) {
    request_t* req = user;
    cw_buffer_add(&req->response, data, size);
    return true;
}

/* Ends or retries a request. A call that did not run is retried if nothing was sent or if the response has Retry-After;
   a call that may have run is retried only if it is repeatable and its response did not arrive completely. */
static void on_response_done(void* user, const cw_call_result_t* result) {
    request_t* req = user;
    req->call = NULL;
    bool is_not_run = strcmp(req->outcome, "not-run") == 0;
    if (result->is_complete && result->status == 200) {
        if (response_matches(req)) {
            count_delivered(req);
        } else {
            req->result->mismatched++;
        }
    } else if (is_not_run || !result->sent) {
        if (!result->sent && req->class->is_run_once) {
            /* The host that issued the ticket is unreachable: forces a lookup, for a ticket of another host. */
            req->caller->ticket[0] = 0;
            req->caller->valid_until_s = 0;
        }
        bool may_retry = !result->sent || req->retry_after_ms;
        if (may_retry && schedule_retry(req, is_not_run ? req->retry_after_ms : 0)) {
            return;
        }
        req->result->refused++;
    } else if (!result->is_complete && !req->class->is_run_once && schedule_retry(req, 0)) {
        return;
    } else if (strcmp(req->outcome, "failed") == 0) {
        req->result->failed++;
    } else if (result->status == 200) {
        req->result->truncated++;
    } else {
        req->result->unknown++;
    }
    finish_request(req);
}

/* Chooses the host of an attempt. A run-once call goes to the host that issued the ticket. Other calls go to one of the
   first two addresses of the lookup, chosen at random; retry n goes to address n, modulo their number. */
static bool choose_address(request_t* req, char address[48]) {
    caller_t* c = req->caller;
    refresh_lookup(c);
    if (!c->count) {
        return false;
    }
    if (!req->class->is_run_once) {
        cw_copy(address, 48,
                c->addresses[(req->attempts + (req->attempts ? 0 : rng_below(&req->load->rng, 2))) % c->count]);
        return true;
    }
    /* A retry of a run-once call follows only attempts that did not run, so a new key, from a live host's ticket, is
       safe. */
    snprintf(req->idempotency_key, sizeof(req->idempotency_key), "%s/%s-%u", c->ticket, req->id, req->attempts);
    cw_copy(address, 48, c->ticket_address);
    return c->ticket[0] != 0;
}

static void send_request(request_t* req) {
    load_t* l = req->load;
    const load_class_t* c = req->class;
    char address[48];
    if (!choose_address(req, address)) {
        if (!schedule_retry(req, 20)) { /* time for the lookup to be answered */
            req->result->refused++;
            finish_request(req);
        }
        return;
    }
    char url[160];
    char bearer[160];
    snprintf(url, sizeof(url), "http://%s%s", address, c->path);
    snprintf(bearer, sizeof(bearer), "Bearer %s", l->desc->workspaces[req->arrival->workspace].token);
    cw_header_t headers[5] = {
        {"Authorization", bearer}, {"Chalkway-Class", c->name}, {"Content-Type", "application/json"}};
    uint32_t count = 3;
    if (c->is_run_once) {
        headers[count++] = (cw_header_t){"Idempotency-Key", req->idempotency_key};
    }
    req->attempts++;
    req->response.size = 0;
    req->status = 0;
    req->outcome[0] = 0;
    req->retry_after_ms = 0;
    double remaining_ms = c->deadline_ms - (now_s() - l->start_s - req->arrival->at_s) * 1000;
    char deadline[16];
    snprintf(deadline, sizeof(deadline), "%u", remaining_ms > 1 ? (unsigned)remaining_ms : 1);
    headers[count++] = (cw_header_t){"Chalkway-Deadline-Ms", deadline};
    req->call = cw_client_call(l->client, &(cw_call_desc_t){.url = url,
                                                            .headers = headers,
                                                            .header_count = count,
                                                            .body = req->body,
                                                            .size = strlen(req->body),
                                                            .timeout_ms = c->deadline_ms + DEADLINE_GRACE_MS,
                                                            .connect_timeout_ms = 300,
                                                            .use_new_connection = c->is_run_once,
                                                            .on_head = on_response_head,
                                                            .on_data = on_response_data,
                                                            .on_done = on_response_done,
                                                            .user_data = req});
}

static void start_request(load_t* l, uint32_t index) {
    const load_arrival_t* a = &l->plan[index];
    request_t* req = cw_alloc(NULL, 1, sizeof(*req));
    req->load = l;
    req->arrival = a;
    req->class = &l->desc->classes[a->class_index];
    req->result = &l->result.classes[a->class_index];
    req->caller = &l->callers[rng_below(&l->rng, l->desc->callers)];
    snprintf(req->id, sizeof(req->id), "r%llx-%u", (unsigned long long)l->desc->seed, index);
    if (req->class->model) {
        snprintf(req->body, sizeof(req->body),
                 "{\"model\":\"%s\",\"stream\":%s,\"messages\":[{\"content\":\"id=%s len=%u\"}]}", req->class->model,
                 req->class->is_stream ? "true" : "false", req->id, a->token_count);
    } else {
        snprintf(req->body, sizeof(req->body), "{\"call\":\"%s\"}", req->id);
    }
    ev_timer_init(&req->timer, on_retry, 0.0, 0.0);
    l->open_count++;
    req->result->sent++;
    send_request(req);
}

static void on_arrivals(struct ev_loop* loop, ev_timer* w, int events) {
    (void)events;
    load_t* l = w->data;
    double at_s = now_s() - l->start_s;
    while (l->next_index < l->count && l->plan[l->next_index].at_s <= at_s) {
        cw_hist_add(&l->lateness_ms, (uint32_t)((at_s - l->plan[l->next_index].at_s) * 1000));
        start_request(l, l->next_index++);
    }
    if (l->next_index < l->count) {
        double wait_s = l->plan[l->next_index].at_s - at_s;
        ev_timer_set(w, wait_s > 0.0005 ? wait_s : 0.0005, 0.0);
        ev_timer_start(loop, w);
    }
}

static void on_tick(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    load_t* l = w->data;
    for (uint32_t i = 0; i < l->desc->callers; i++) {
        refresh_lookup(&l->callers[i]);
    }
    if (l->desc->on_progress) {
        l->desc->on_progress(l->desc->user_data, now_s() - l->start_s);
    }
}

load_result_t load_run(const load_desc_t* desc) {
    load_desc_t d = *desc;
    d.callers = d.callers ? d.callers : 40;
    load_t* l = cw_alloc(NULL, 1, sizeof(*l));
    l->desc = &d;
    l->loop = ev_default_loop(EVFLAG_AUTO);
    l->client = cw_client_setup(l->loop, 2048);
    l->rng.state = d.seed + 1;
    l->plan = load_plan(&d, &l->count);
    l->callers = cw_alloc(NULL, d.callers, sizeof(*l->callers));
    for (uint32_t i = 0; i < d.callers; i++) {
        l->callers[i].load = l;
    }
    l->start_s = now_s() + 0.5; /* time for the first lookups */
    ev_timer_init(&l->arrival_timer, on_arrivals, 0.5, 0.0);
    ev_timer_init(&l->tick_timer, on_tick, 0.0, 0.1);
    l->arrival_timer.data = l->tick_timer.data = l;
    ev_timer_start(l->loop, &l->arrival_timer);
    ev_timer_start(l->loop, &l->tick_timer);
    ev_run(l->loop, 0);
    ev_timer_stop(l->loop, &l->tick_timer);
    ev_timer_stop(l->loop, &l->arrival_timer);
    l->result.duration_s = d.duration_s;
    l->result.lag_p99_ms = cw_hist_quantile(&l->lateness_ms, 0.99);
    cw_client_shutdown(l->client);
    load_result_t result = l->result;
    free(l->plan);
    free(l->callers);
    free(l);
    return result;
}
