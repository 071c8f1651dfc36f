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

#define MAX_TRIES 6
#define MIN_LENGTH 4
#define LOOKUP_TIMEOUT_MS 200
#define MAX_ADDRESSES 4
#define GRACE_MS 3000 /* after the deadline a request is given up */
#define TOKEN_CHARS 7

typedef struct load_t load_t;

/* Who sends requests: keeps one lookup answer. */
typedef struct caller_t {
    load_t* load;
    char addresses[MAX_ADDRESSES][48];
    uint32_t count;
    char ticket[128];
    char ticket_address[48];
    double until_s; /* the answer may be used until then */
    bool asking;
    uint32_t tries;
    char body[4096];
    size_t size;
} caller_t;

typedef struct job_t {
    load_t* load;
    const load_arrival_t* arrival;
    const load_class_t* class;
    load_class_result_t* result;
    caller_t* caller;
    char id[48];
    char name[192];   /* run-once */
    char address[48]; /* that the name belongs to */
    char body[256];
    cw_buffer_t answer;
    double first_s;
    uint32_t tries;
    unsigned status;
    char outcome[16];
    uint32_t retry_after_ms;
    ev_timer timer;
    cw_call_t* call;
} job_t;

struct load_t {
    const load_desc_t* desc;
    struct ev_loop* loop;
    cw_client_t* client;
    load_arrival_t* plan;
    uint32_t count, next, open;
    caller_t* callers;
    ev_timer arrivals, tick;
    double start_s;
    rng_t rng;
    cw_hist_t lag;
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

static double rate_at(const load_class_t* c, double at_s) {
    double rate = 0;
    for (uint32_t i = 0; i < LOAD_MAX_PHASES; i++) {
        if ((i == 0 || c->phases[i].from_s > 0) && c->phases[i].from_s <= at_s) {
            rate = c->phases[i].rate;
        }
    }
    return rate;
}

static uint32_t choose_workspace(const load_desc_t* d, rng_t* rng) {
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

static uint32_t choose_length(const load_class_t* c, rng_t* rng) {
    double length = -log(uniform(rng)) * c->length;
    double max = c->max_length > 0 ? c->max_length : 8 * c->length;
    length = length > max ? max : length;
    return length < MIN_LENGTH ? MIN_LENGTH : (uint32_t)length;
}

static int by_time(const void* a, const void* b) {
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
        uint32_t steps = (uint32_t)(d->seconds / step_s);
        for (uint32_t step = 0; step < steps; step++) {
            double at = step * step_s;
            double expected = rate_at(&d->classes[c], at) * step_s;
            while (expected > 0 && uniform(&rng) <= expected) { /* at most a few in a millisecond */
                expected -= 1;
                if (n == capacity) {
                    capacity *= 2;
                    load_arrival_t* grown = realloc(plan, capacity * sizeof(*plan));
                    if (!grown) {
                        abort();
                    }
                    plan = grown;
                }
                plan[n++] = (load_arrival_t){.at_s = at + uniform(&rng) * step_s,
                                             .class_index = c,
                                             .workspace = choose_workspace(d, &rng),
                                             .length = d->classes[c].model ? choose_length(&d->classes[c], &rng) : 0};
            }
        }
    }
    qsort(plan, n, sizeof(*plan), by_time);
    *count = n;
    return plan;
}

/* -- lookups -------------------------------------------------------------- */

static void take_lookup(caller_t* c) {
    json_t* root = json_loadb(c->body, c->size, 0, NULL);
    json_t* list = json_object_get(root, "addresses");
    if (json_array_size(list)) {
        c->count = 0;
        for (size_t i = 0; i < json_array_size(list) && i < MAX_ADDRESSES; i++) {
            cw_copy(c->addresses[c->count++], 48, json_string_value(json_array_get(list, i)));
        }
        cw_copy(c->ticket, sizeof(c->ticket), json_string_value(json_object_get(root, "ticket")));
        cw_copy(c->ticket_address, 48, json_string_value(json_object_get(root, "ticket_address")));
        c->until_s = now_s() + (double)json_integer_value(json_object_get(root, "keep_ms")) / 1000.0;
        c->tries = 0;
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
    c->asking = false;
    c->tries++;
    if (result->whole && result->status == 200) {
        take_lookup(c);
    }
}

/* Asks for a new answer when the present one is nearly over: any address it knows, else a seed. */
static void refresh_caller(caller_t* c) {
    load_t* l = c->load;
    if (c->asking || now_s() < c->until_s - 0.2) {
        return;
    }
    uint32_t seeds = 0;
    while (l->desc->seeds[seeds]) {
        seeds++;
    }
    const char* address = (c->count && c->tries < 2) ? c->addresses[(c->tries + rng_below(&l->rng, 2)) % c->count]
                                                     : l->desc->seeds[rng_below(&l->rng, seeds)];
    char url[96];
    snprintf(url, sizeof(url), "http://%s/v1/lookup", address);
    c->asking = true;
    c->size = 0;
    cw_client_call(l->client, &(cw_call_desc_t){.url = url,
                                                .timeout_ms = LOOKUP_TIMEOUT_MS,
                                                .on_data = on_lookup_data,
                                                .on_done = on_lookup_done,
                                                .user_data = c});
}

/* -- answers -------------------------------------------------------------- */

/* Appends the contents of a stream's events. */
static size_t join_stream(char* text) {
    static const char mark[] = "\"content\":\"";
    char* out = text;
    for (char* at = strstr(text, mark); at; at = strstr(at, mark)) {
        at += sizeof(mark) - 1;
        size_t len = strcspn(at, "\"");
        memmove(out, at, len);
        out += len;
        at += len;
    }
    return (size_t)(out - text);
}

static bool tokens_match(const job_t* j, const char* text, size_t size) {
    if (size != (size_t)j->arrival->length * TOKEN_CHARS) {
        return false;
    }
    for (uint32_t k = 0; k < j->arrival->length; k++) {
        char token[32];
        snprintf(token, sizeof(token), "w%05u ", (unsigned)(XXH64(j->id, strlen(j->id), k) % 100000));
        if (memcmp(text + (size_t)k * TOKEN_CHARS, token, TOKEN_CHARS) != 0) {
            return false;
        }
    }
    return true;
}

static bool answer_matches(job_t* j) {
    if (!j->answer.data) {
        return false;
    }
    if (j->class->stream) {
        bool ended = strstr(j->answer.data, "data: [DONE]") != NULL;
        return tokens_match(j, j->answer.data, join_stream(j->answer.data)) && ended;
    }
    json_t* root = json_loadb(j->answer.data, j->answer.size, 0, NULL);
    bool right = false;
    if (j->class->model) {
        json_t* choice = json_array_get(json_object_get(root, "choices"), 0);
        const char* text = json_string_value(json_object_get(json_object_get(choice, "message"), "content"));
        right = text && tokens_match(j, text, strlen(text));
    } else {
        const char* echo = json_string_value(json_object_get(root, "echo"));
        right = echo && strcmp(echo, j->body) == 0;
    }
    json_decref(root);
    return right;
}

static void job_end(job_t* j) {
    load_t* l = j->load;
    ev_timer_stop(l->loop, &j->timer);
    cw_buffer_free(&j->answer);
    free(j);
    if (--l->open == 0 && l->next == l->count) {
        ev_break(l->loop, EVBREAK_ALL);
    }
}

static void count_delivered(job_t* j) {
    load_t* l = j->load;
    load_class_result_t* r = j->result;
    double took_ms = (now_s() - l->start_s - j->arrival->at_s) * 1000;
    r->delivered++;
    r->in_time += took_ms <= j->class->deadline_ms;
    r->tokens += j->arrival->length;
    l->result.workspace_tokens[j->arrival->workspace] += j->arrival->length;
    cw_hist_add(&r->total_ms, (uint32_t)took_ms);
    if (j->first_s > 0) {
        cw_hist_add(&r->first_ms, (uint32_t)((j->first_s - l->start_s - j->arrival->at_s) * 1000));
    }
}

/* -- tries ---------------------------------------------------------------- */

static void send_job(job_t* j);

static void on_retry(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    send_job(w->data);
}

/* Tries again after a while if the deadline leaves room; false when it does not. */
static bool retry_job(job_t* j, uint32_t wait_ms) {
    load_t* l = j->load;
    double left_ms = j->class->deadline_ms - (now_s() - l->start_s - j->arrival->at_s) * 1000;
    if (j->tries >= MAX_TRIES || wait_ms >= left_ms) {
        return false;
    }
    l->result.retries++;
    ev_timer_stop(l->loop, &j->timer);
    ev_timer_init(&j->timer, on_retry, wait_ms / 1000.0, 0.0);
    j->timer.data = j;
    ev_timer_start(l->loop, &j->timer);
    return true;
}

static void on_answer_head(void* user, unsigned status, const char* type) {
    (void)type;
    job_t* j = user;
    j->first_s = now_s();
    j->status = status;
    const char* outcome = cw_call_header(j->call, "Chalkway-Outcome");
    const char* retry = cw_call_header(j->call, "Retry-After");
    cw_copy(j->outcome, sizeof(j->outcome), outcome);
    j->retry_after_ms = retry ? (uint32_t)strtoul(retry, NULL, 10) * 1000 : 0;
}

static bool on_answer_data(void* user, const char* data, size_t size) {
    job_t* j = user;
    cw_buffer_add(&j->answer, data, size);
    return true;
}

/* What the caller knows now decides whether it may send again. */
static void on_answer_done(void* user, const cw_call_result_t* result) {
    job_t* j = user;
    j->call = NULL;
    bool said_not_run = strcmp(j->outcome, "not-run") == 0;
    if (result->whole && result->status == 200) {
        if (answer_matches(j)) {
            count_delivered(j);
        } else {
            j->result->wrong++;
        }
    } else if (said_not_run || !result->sent) {
        if (!result->sent && j->class->once) { /* the ticket's host is gone: a new ticket of another is needed */
            j->caller->ticket[0] = 0;
            j->caller->until_s = 0;
        }
        bool told_when = !result->sent || j->retry_after_ms;
        if (told_when && retry_job(j, said_not_run ? j->retry_after_ms : 0)) {
            return;
        }
        j->result->refused++;
    } else if (!result->whole && !j->class->once && retry_job(j, 0)) {
        return;
    } else if (strcmp(j->outcome, "failed") == 0) {
        j->result->failed++;
    } else if (result->status == 200) {
        j->result->cut++;
    } else {
        j->result->unknown++;
    }
    job_end(j);
}

/* Picks the address: the ticket's for a named call, else the lookup's in order of the tries. */
static bool choose_address(job_t* j, char address[48]) {
    caller_t* c = j->caller;
    refresh_caller(c);
    if (!c->count) {
        return false;
    }
    if (!j->class->once) {
        cw_copy(address, 48, c->addresses[(j->tries + (j->tries ? 0 : rng_below(&j->load->rng, 2))) % c->count]);
        return true;
    }
    /* A name is used only while nothing has been sent under it; then a new one of a live host is right. */
    snprintf(j->name, sizeof(j->name), "%s/%s-%u", c->ticket, j->id, j->tries);
    cw_copy(address, 48, c->ticket_address);
    return c->ticket[0] != 0;
}

static void send_job(job_t* j) {
    load_t* l = j->load;
    const load_class_t* c = j->class;
    char address[48];
    if (!choose_address(j, address)) {
        if (!retry_job(j, 20)) { /* waits for the lookup's answer */
            j->result->refused++;
            job_end(j);
        }
        return;
    }
    char url[160];
    char bearer[160];
    snprintf(url, sizeof(url), "http://%s%s", address, c->path);
    snprintf(bearer, sizeof(bearer), "Bearer %s", l->desc->workspaces[j->arrival->workspace].token);
    cw_header_t headers[5] = {
        {"Authorization", bearer}, {"Chalkway-Class", c->name}, {"Content-Type", "application/json"}};
    uint32_t count = 3;
    if (c->once) {
        headers[count++] = (cw_header_t){"Idempotency-Key", j->name};
    }
    j->tries++;
    j->answer.size = 0;
    j->status = 0;
    j->outcome[0] = 0;
    j->retry_after_ms = 0;
    double left_ms = c->deadline_ms - (now_s() - l->start_s - j->arrival->at_s) * 1000;
    char deadline[16];
    snprintf(deadline, sizeof(deadline), "%u", left_ms > 1 ? (unsigned)left_ms : 1);
    headers[count++] = (cw_header_t){"Chalkway-Deadline-Ms", deadline};
    j->call = cw_client_call(l->client, &(cw_call_desc_t){.url = url,
                                                          .headers = headers,
                                                          .header_count = count,
                                                          .body = j->body,
                                                          .size = strlen(j->body),
                                                          .timeout_ms = c->deadline_ms + GRACE_MS,
                                                          .connect_ms = 300,
                                                          .fresh = c->once,
                                                          .on_head = on_answer_head,
                                                          .on_data = on_answer_data,
                                                          .on_done = on_answer_done,
                                                          .user_data = j});
}

static void start_job(load_t* l, uint32_t index) {
    const load_arrival_t* a = &l->plan[index];
    job_t* j = cw_alloc(NULL, 1, sizeof(*j));
    j->load = l;
    j->arrival = a;
    j->class = &l->desc->classes[a->class_index];
    j->result = &l->result.classes[a->class_index];
    j->caller = &l->callers[rng_below(&l->rng, l->desc->callers)];
    snprintf(j->id, sizeof(j->id), "r%llx-%u", (unsigned long long)l->desc->seed, index);
    if (j->class->model) {
        snprintf(j->body, sizeof(j->body),
                 "{\"model\":\"%s\",\"stream\":%s,\"messages\":[{\"content\":\"id=%s len=%u\"}]}", j->class->model,
                 j->class->stream ? "true" : "false", j->id, a->length);
    } else {
        snprintf(j->body, sizeof(j->body), "{\"call\":\"%s\"}", j->id);
    }
    ev_timer_init(&j->timer, on_retry, 0.0, 0.0);
    l->open++;
    j->result->sent++;
    send_job(j);
}

static void on_arrivals(struct ev_loop* loop, ev_timer* w, int events) {
    (void)events;
    load_t* l = w->data;
    double at_s = now_s() - l->start_s;
    while (l->next < l->count && l->plan[l->next].at_s <= at_s) {
        cw_hist_add(&l->lag, (uint32_t)((at_s - l->plan[l->next].at_s) * 1000));
        start_job(l, l->next++);
    }
    if (l->next < l->count) {
        double wait_s = l->plan[l->next].at_s - at_s;
        ev_timer_set(w, wait_s > 0.0005 ? wait_s : 0.0005, 0.0);
        ev_timer_start(loop, w);
    }
}

static void on_tick(struct ev_loop* loop, ev_timer* w, int events) {
    (void)loop;
    (void)events;
    load_t* l = w->data;
    for (uint32_t i = 0; i < l->desc->callers; i++) {
        refresh_caller(&l->callers[i]);
    }
    if (l->desc->on_time) {
        l->desc->on_time(l->desc->user_data, now_s() - l->start_s);
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
    ev_timer_init(&l->arrivals, on_arrivals, 0.5, 0.0);
    ev_timer_init(&l->tick, on_tick, 0.0, 0.1);
    l->arrivals.data = l->tick.data = l;
    ev_timer_start(l->loop, &l->arrivals);
    ev_timer_start(l->loop, &l->tick);
    ev_run(l->loop, 0);
    ev_timer_stop(l->loop, &l->tick);
    ev_timer_stop(l->loop, &l->arrivals);
    l->result.seconds = d.seconds;
    l->result.lag_p99_ms = cw_hist_quantile(&l->lag, 0.99);
    cw_client_shutdown(l->client);
    load_result_t result = l->result;
    free(l->plan);
    free(l->callers);
    free(l);
    return result;
}
