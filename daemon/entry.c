/* The entry: accepts requests of callers, classifies them and responds. */
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#include "entry_internal.h"

#define PREFIX_BYTES 256  /* length of the prompt prefix that is hashed for cache affinity */
#define BYTES_PER_TOKEN 4 /* rough average */
#define RETRY_BURST 20
#define BEARER "Bearer "

#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define HTTP_UNAUTHORIZED 401
#define HTTP_NOT_FOUND 404
#define HTTP_CONFLICT 409
#define HTTP_UNPROCESSABLE 422
#define HTTP_UNAVAILABLE 503

/* -- responses ------------------------------------------------------------ */

static void response_free(void* response, void* user) {
    (void)user;
    response_t* a = response;
    cw_buffer_free(&a->body);
    free(a);
}

static void response_send(cw_exchange_t* x, const response_t* response, const char* id) {
    if (response->outcome != CW_OUTCOME_DELIVERED) {
        reply_error(x, response->status, response->outcome, response->code, response->step, response->peer,
                    response->message, response->retry_after_ms);
        return;
    }
    const cw_header_t headers[] = {{"Content-Type", response->type[0] ? response->type : "application/octet-stream"},
                                   {"Chalkway-Outcome", cw_outcome_name(response->outcome)},
                                   {"Chalkway-Request-Id", id}};
    cw_exchange_reply(x, response->status, headers, 3, cw_buffer_text(&response->body), response->body.size);
}

void request_set_error(request_t* r, unsigned status, const char* code, const char* step, const char* peer,
                       const char* message, uint32_t retry_after_ms) {
    response_t* response = &r->response;
    response->status = status;
    response->retry_after_ms = retry_after_ms;
    cw_copy(response->code, sizeof(response->code), code);
    cw_copy(response->step, sizeof(response->step), step);
    cw_copy(response->peer, sizeof(response->peer), peer);
    cw_copy(response->message, sizeof(response->message), message);
}

/* Ends a stream that has begun: normally, or with an error event and a broken connection. */
static void finish_stream(request_t* r) {
    if (r->response.outcome != CW_OUTCOME_DELIVERED) {
        char event[CW_MESSAGE_MAX * 2];
        int n = snprintf(event, sizeof(event),
                         "event: error\ndata: {\"error\":{\"code\":\"%s\",\"step\":\"%s\",\"outcome\":\"%s\"}}\n\n",
                         r->response.code, r->response.step, cw_outcome_name(r->response.outcome));
        cw_exchange_push(r->x, event, n > 0 ? (size_t)n : 0);
    }
    cw_exchange_finish(r->x, r->response.outcome == CW_OUTCOME_DELIVERED);
}

static void count_outcome(request_t* r) {
    entry_t* e = r->entry;
    int64_t now_ms = node_now_ms();
    cw_outcome_t outcome = r->response.outcome;
    e->stats.outcomes[outcome]++;
    if (r->metric) {
        r->metric->outcomes[outcome]++;
        r->metric->delivered_in_time += outcome == CW_OUTCOME_DELIVERED && now_ms <= r->deadline_ms;
        cw_hist_add(&r->metric->total_ms, (uint32_t)(now_ms - r->start_ms));
        if (r->first_byte_ms) {
            cw_hist_add(&r->metric->first_byte_ms, (uint32_t)(r->first_byte_ms - r->start_ms));
        }
    }
    cw_log(&e->node->log, CW_EVENT_REQUEST_ENDED, "id=%s workspace=%s class=%s outcome=%s code=%s step=%s ms=%lld",
           r->id, r->workspace ? r->workspace->name : "-", r->class ? r->class->name : "-", cw_outcome_name(outcome),
           r->response.code[0] ? r->response.code : "-", r->response.step[0] ? r->response.step : "-",
           (long long)(now_ms - r->start_ms));
}

/* Responds to the retries that wait for this call. */
static void respond_to_joined(entry_t* e, const request_t* owner) {
    for (uint32_t i = 0; i < e->max_requests; i++) {
        request_t* r = &e->requests[i];
        if (!r->is_used || r == owner || r->joined_record == CW_RUN_NONE || r->joined_record != owner->runonce_record) {
            continue;
        }
        r->response.outcome = owner->response.outcome;
        if (r->x) {
            response_send(r->x, &owner->response, owner->id);
        }
        r->x = NULL;
        r->joined_record = CW_RUN_NONE;
        count_outcome(r);
        request_free(r);
    }
}

/* If the call may have run, completes its run-once record and stores the response; otherwise aborts the record. */
static void settle_runonce_record(request_t* r) {
    entry_t* e = r->entry;
    if (r->runonce_record == CW_RUN_NONE) {
        return;
    }
    respond_to_joined(e, r);
    if (r->response.outcome == CW_OUTCOME_NOT_RUN) {
        cw_runonce_abort(e->runonce, r->runonce_record);
    } else {
        response_t* stored = cw_alloc(NULL, 1, sizeof(*stored));
        *stored = r->response;
        r->response.body = (cw_buffer_t){0};
        cw_runonce_complete(e->runonce, r->runonce_record, stored, stored->body.size + sizeof(*stored));
    }
    r->runonce_record = CW_RUN_NONE;
}

void request_respond(request_t* r) {
    if (!r->is_answered) {
        r->is_answered = true;
        r->response.outcome = cw_request_outcome(&r->machine);
        count_outcome(r);
    }
    if (r->x && r->is_streaming) {
        finish_stream(r);
    } else if (r->x) {
        response_send(r->x, &r->response, r->id);
    }
    r->x = NULL;
    if (r->machine.state == CW_REQ_ENDED) {
        r->response.outcome = cw_request_outcome(&r->machine); /* may be better than the outcome sent to the caller */
        settle_runonce_record(r);
    }
}

void request_free(request_t* r) {
    entry_t* e = r->entry;
    uint32_t index = (uint32_t)(r - e->requests);
    cw_heap_remove(&e->timers, index);
    if (r->seq) {
        cw_map_remove(&e->by_seq, r->seq);
    }
    if (r->snapshot) {
        cw_snapshot_release(r->snapshot);
    }
    free(r->body);
    cw_buffer_free(&r->response.body);
    cw_buffer_free(&r->partial_event);
    *r = (request_t){0};
    e->free_requests[e->free_count++] = index;
    e->stats.active--;
}

static request_t* request_new(entry_t* e, cw_exchange_t* x) {
    if (!e->free_count) {
        return NULL;
    }
    uint32_t index = e->free_requests[--e->free_count];
    request_t* r = &e->requests[index];
    *r = (request_t){.is_used = true,
                     .entry = e,
                     .x = x,
                     .runonce_record = CW_RUN_NONE,
                     .joined_record = CW_RUN_NONE,
                     .shard = ENTRY_NONE};
    r->start_ms = node_now_ms();
    r->snapshot = cw_store_snapshot(e->node->store);
    snprintf(r->id, sizeof(r->id), "%.16s-%llx", e->node->settings.name, (unsigned long long)e->stats.requests);
    cw_exchange_set_data(x, r);
    e->stats.active++;
    e->stats.requests++;
    return r;
}

/* Ends a request before a slot has been requested for it. */
static void reject(request_t* r, unsigned status, const char* code, const char* step, const char* message,
                   uint32_t retry_after_ms) {
    request_set_error(r, status, code, step, NULL, message, retry_after_ms);
    r->machine.state = CW_REQ_ENDED;
    request_respond(r);
    request_free(r);
}

/* -- classification ------------------------------------------------------- */

static bool authenticate(request_t* r) {
    const char* auth = cw_exchange_header(r->x, "Authorization");
    if (!auth || strncasecmp(auth, BEARER, strlen(BEARER)) != 0) {
        reject(r, HTTP_UNAUTHORIZED, "no-token", "authenticate", "a bearer token is needed", 0);
        return false;
    }
    const char* token = auth + strlen(BEARER);
    uint8_t digest[CW_DIGEST_BYTES];
    crypto_generichash(digest, sizeof(digest), (const uint8_t*)token, strlen(token), NULL, 0);
    r->workspace = cw_snapshot_authenticate(r->snapshot, digest);
    if (!r->workspace) {
        reject(r, HTTP_UNAUTHORIZED, "wrong-token", "authenticate", "no workspace has this token", 0);
    }
    return r->workspace != NULL;
}

static bool class_allows_pool(const cw_class_t* class, const char* pool) {
    for (uint32_t i = 0; i < class->pool_count; i++) {
        if (strcmp(class->pools[i], pool) == 0) {
            return true;
        }
    }
    return false;
}

/* Returns the class's pool that serves the model, or its first pool of inference engines when model is NULL. */
static const cw_pool_t* find_pool_by_model(const request_t* r, const char* model) {
    for (uint32_t i = 0; i < r->class->pool_count; i++) {
        const cw_pool_t* pool = cw_snapshot_pool(r->snapshot, cw_name_id(r->class->pools[i]));
        if (pool && pool->is_engine && (!model || strcmp(model, pool->model) == 0)) {
            return pool;
        }
    }
    return NULL;
}

static bool parse_class(request_t* r) {
    const char* name = cw_exchange_header(r->x, "Chalkway-Class");
    r->class = name ? cw_snapshot_class(r->snapshot, cw_name_id(name)) : NULL;
    if (!r->class) {
        reject(r, HTTP_BAD_REQUEST, "unknown-class", "classify", "the header Chalkway-Class names no known class", 0);
        return false;
    }
    uint32_t deadline_ms = r->class->deadline_ms;
    const char* requested = cw_exchange_header(r->x, "Chalkway-Deadline-Ms");
    unsigned long requested_ms = requested ? strtoul(requested, NULL, 10) : 0;
    if (requested_ms && requested_ms < deadline_ms) {
        deadline_ms = (uint32_t)requested_ms;
    }
    r->deadline_ms = r->start_ms + deadline_ms;
    return true;
}

static uint64_t hash_prefix(const char* text, size_t size) {
    uint64_t hash = XXH64(text, size < PREFIX_BYTES ? size : PREFIX_BYTES, 0);
    return hash ? hash : 1;
}

/* Hashes the first PREFIX_BYTES bytes of the prompt or of the first message; 0: none. */
static uint64_t hash_prompt_prefix(json_t* root) {
    json_t* prompt = json_object_get(root, "prompt");
    if (!json_is_string(prompt)) {
        prompt = json_object_get(json_array_get(json_object_get(root, "messages"), 0), "content");
    }
    const char* text = json_string_value(prompt);
    return text ? hash_prefix(text, strlen(text)) : 0;
}

/* Each message but the last, which is the request's own, is a part that other prompts may share. */
static void add_shared_messages(request_t* r, json_t* root) {
    json_t* messages = json_object_get(root, "messages");
    for (size_t i = 0; i + 1 < json_array_size(messages); i++) {
        const char* text = json_string_value(json_object_get(json_array_get(messages, i), "content"));
        if (text) {
            suspects_add_message(r, text);
        }
    }
}

static bool classify_model(request_t* r) {
    json_error_t parse_error;
    json_t* root = json_loadb(r->body, r->body_size, 0, &parse_error);
    if (!json_is_object(root)) {
        char message[CW_MESSAGE_MAX];
        snprintf(message, sizeof(message), "the body is no JSON object: line %d: %.120s", parse_error.line,
                 parse_error.text);
        json_decref(root);
        reject(r, HTTP_BAD_REQUEST, "bad-json", "parse", message, 0);
        return false;
    }
    r->wants_stream = json_is_true(json_object_get(root, "stream"));
    r->max_tokens = (uint32_t)json_integer_value(json_object_get(root, "max_tokens"));
    r->prefix_hash = hash_prompt_prefix(root);
    add_shared_messages(r, root);
    const char* model = json_string_value(json_object_get(root, "model"));
    r->pool = find_pool_by_model(r, model);
    json_decref(root);
    if (!r->pool) {
        reject(r, HTTP_NOT_FOUND, "unknown-model", "classify", "no pool of this class serves the model", 0);
    }
    return r->pool != NULL;
}

/* Routes /v1/services/POOL/SUBPATH to the pool, with the path /SUBPATH. */
static bool classify_service(request_t* r, const char* path) {
    char name[CW_NAME_MAX];
    const char* subpath = strchr(path, '/');
    size_t len = subpath ? (size_t)(subpath - path) : strlen(path);
    cw_copy(name, len < sizeof(name) ? len + 1 : sizeof(name), path);
    r->pool = cw_snapshot_pool(r->snapshot, cw_name_id(name));
    if (!r->pool || r->pool->is_engine || !class_allows_pool(r->class, name)) {
        reject(r, HTTP_NOT_FOUND, "unknown-pool", "classify", "the class may not use a service pool of this name", 0);
        return false;
    }
    cw_copy(r->path, sizeof(r->path), subpath ? subpath : "/");
    return true;
}

static bool classify(request_t* r, const char* path) {
    static const char services[] = "/v1/services/";
    if (!parse_class(r)) {
        return false;
    }
    if (strncmp(path, services, sizeof(services) - 1) == 0) {
        return classify_service(r, path + sizeof(services) - 1);
    }
    cw_copy(r->path, sizeof(r->path), path);
    return classify_model(r);
}

/* -- idempotency keys ----------------------------------------------------- */

static void replay_response(request_t* r, const response_t* stored) {
    r->response.outcome = stored->outcome;
    response_send(r->x, stored, r->id);
    r->x = NULL;
    count_outcome(r);
    request_free(r);
}

/* Rejects a request with an outcome that does not follow from its own attempts: the call may have run at another host
   or earlier. */
static void reject_runonce(request_t* r, cw_outcome_t outcome, const char* code, const char* message) {
    request_set_error(r, HTTP_CONFLICT, code, "run-once", NULL, message, 0);
    r->is_answered = true;
    r->response.outcome = outcome;
    count_outcome(r);
    response_send(r->x, &r->response, r->id);
    r->x = NULL;
    request_free(r);
}

/* Handles the idempotency key of a non-repeatable call; returns true if the request is to run. */
static bool begin_runonce(request_t* r) {
    entry_t* e = r->entry;
    const char* key = cw_exchange_header(r->x, "Idempotency-Key");
    if (r->class->repeatable || !key) {
        return true;
    }
    cw_copy(r->idempotency_key, sizeof(r->idempotency_key), key);
    uint64_t body_hash = XXH64(r->body, r->body_size, cw_name_id(r->path));
    cw_runonce_begin_t b = cw_runonce_begin(e->runonce, r->start_ms, r->workspace->id, key, body_hash);
    switch (b.verdict) {
        case CW_RUN_NEW:
            r->runonce_record = b.record;
            return true;
        case CW_RUN_JOIN:
            r->joined_record = b.record;
            e->stats.retries_joined++;
            request_arm(r);
            return false;
        case CW_RUN_REPLAY:
            replay_response(r, b.response);
            return false;
        case CW_RUN_RESPONSE_LOST:
            reject_runonce(r, CW_OUTCOME_FAILED, "answer-lost", "the call ran; its answer is not kept any more");
            return false;
        case CW_RUN_UNKNOWN:
            reject_runonce(r, CW_OUTCOME_UNKNOWN, "other-process",
                           "the ticket is of another process or has expired: ask the application");
            return false;
        case CW_RUN_NO_TICKET:
            reject(r, HTTP_BAD_REQUEST, "no-ticket", "run-once",
                   "the name of a call that may not be repeated must be TICKET/SUFFIX, see GET /v1/lookup", 0);
            return false;
        case CW_RUN_MISMATCH:
            reject(r, HTTP_UNPROCESSABLE, "name-reused", "run-once", "the name was used for another call", 0);
            return false;
        case CW_RUN_FULL:
            break;
    }
    reject(r, HTTP_UNAVAILABLE, "names-full", "run-once", "too many named calls are remembered", 1000);
    return false;
}

/* -- start ---------------------------------------------------------------- */

static estimate_t* find_estimate(entry_t* e, const request_t* r) {
    uint64_t key = cw_mix(r->class->id, r->pool->id);
    for (uint32_t i = 0; i < e->estimate_count; i++) {
        if (e->estimates[i].key == key) {
            return &e->estimates[i];
        }
    }
    uint32_t i = e->estimate_count < ENTRY_MAX_ESTIMATES ? e->estimate_count++ : (uint32_t)(key % ENTRY_MAX_ESTIMATES);
    e->estimates[i] = (estimate_t){.key = key};
    return &e->estimates[i];
}

/* Returns the counters of the workspace and class. When the table is full, its last element counts all further ones. */
static metric_t* find_metric(entry_t* e, const request_t* r) {
    uint64_t key = cw_mix(r->workspace->id, r->class->id);
    uint32_t i = cw_map_get(&e->by_metric, key);
    if (i != CW_MAP_NONE) {
        return &e->metrics[i];
    }
    if (e->metric_count == ENTRY_MAX_METRICS) {
        return &e->metrics[ENTRY_MAX_METRICS - 1];
    }
    metric_t* m = &e->metrics[e->metric_count];
    bool is_last = e->metric_count == ENTRY_MAX_METRICS - 1;
    cw_copy(m->workspace, sizeof(m->workspace), is_last ? "other" : r->workspace->name);
    cw_copy(m->class, sizeof(m->class), is_last ? "other" : r->class->name);
    cw_map_put(&e->by_metric, key, e->metric_count++);
    return m;
}

/* Estimates the cost in units of one output token; 8 prompt tokens of an inference request cost one unit. */
static void estimate_cost(request_t* r) {
    uint32_t prompt = r->pool->is_engine ? (uint32_t)(r->body_size / BYTES_PER_TOKEN) : 0;
    uint32_t output = cw_estimate_quantile(&r->estimate->cost, 0.8, r->class->cost);
    if (r->max_tokens && r->max_tokens < output) {
        output = r->max_tokens;
    }
    r->cost = prompt / 8 + output;
    r->cost = r->cost ? r->cost : 1;
}

/* A call that may not be repeated must not be cut by the exit: its caller could not know whether it ran. */
static bool is_refused_by_stop(const request_t* r) {
    const node_t* node = r->entry->node;
    return node->stop.phase >= CW_STOP_REFUSING ||
           (!r->class->repeatable && node_may_exit_before(node, r->deadline_ms));
}

static void start_request(request_t* r) {
    entry_t* e = r->entry;
    r->estimate = find_estimate(e, r);
    r->metric = find_metric(e, r);
    estimate_cost(r);
    suspects_init(r);
    r->machine = cw_request_new(
        &(cw_request_desc_t){.repeatable = r->class->repeatable, .resumable = r->pool->can_resume && r->wants_stream});
    r->shard = shards_choose(e, r);
    r->first_shard = r->shard;
    if (r->shard == ENTRY_NONE) {
        reject(r, HTTP_UNAVAILABLE, "no-upstream", "choose", "the pool has no upstream", 1000);
        return;
    }
    if (is_refused_by_stop(r)) {
        reject(r, HTTP_UNAVAILABLE, "stopping", "accept", "this host is stopping", STOPPING_RETRY_AFTER_MS);
        return;
    }
    cw_retry_budget_on_first_attempt(&e->retries);
    request_event(r, CW_EV_START);
}

static void copy_body(request_t* r) {
    size_t size = 0;
    const char* body = cw_exchange_body(r->x, &size);
    const char* type = cw_exchange_header(r->x, "Content-Type");
    r->body = cw_alloc(NULL, size + 1, 1);
    memcpy(r->body, body, size);
    r->body_size = size;
    cw_copy(r->type, sizeof(r->type), type ? type : "application/json");
    cw_copy(r->method, sizeof(r->method), cw_exchange_method(r->x));
}

static void accept_request(entry_t* e, cw_exchange_t* x, const char* path) {
    request_t* r = request_new(e, x);
    if (!r) {
        reply_error(x, HTTP_UNAVAILABLE, CW_OUTCOME_NOT_RUN, "too-many-requests", "accept", NULL,
                    "this host has no room for another request", 1000);
        return;
    }
    copy_body(r);
    if (authenticate(r) && classify(r, path) && begin_runonce(r)) {
        start_request(r);
    }
}

void entry_on_request(cw_exchange_t* x, void* user) {
    node_t* node = user;
    const char* path = cw_exchange_path(x);
    bool is_ready = sync_is_ready(node->sync);
    if (strcmp(path, "/healthz") == 0) {
        reply_json(x, HTTP_OK, "{\"status\":\"ok\"}");
    } else if (strcmp(path, "/readyz") == 0) {
        reply_json(x, is_ready && !node_is_stopping(node) ? HTTP_OK : HTTP_UNAVAILABLE,
                   is_ready ? (node_is_stopping(node) ? "{\"status\":\"leaving\"}" : "{\"status\":\"ready\"}")
                            : "{\"status\":\"starting\"}");
    } else if (!is_ready) {
        reply_error(x, HTTP_UNAVAILABLE, CW_OUTCOME_NOT_RUN, "starting", "accept", NULL,
                    "this host has no configuration yet", 500);
    } else if (strcmp(path, "/v1/lookup") == 0) {
        lookup_respond(node, x);
    } else if (strcmp(path, "/v1/chat/completions") == 0 || strcmp(path, "/v1/completions") == 0 ||
               strncmp(path, "/v1/services/", 13) == 0) {
        accept_request(node->entry, x, path);
    } else {
        reply_error(x, HTTP_NOT_FOUND, CW_OUTCOME_NOT_RUN, "no-such-path", "accept", NULL, "nothing is served here", 0);
    }
}

void entry_on_caller_closed(cw_exchange_t* x, void* user) {
    (void)user;
    request_t* r = cw_exchange_data(x);
    if (!r) {
        return;
    }
    r->x = NULL;
    if (r->joined_record != CW_RUN_NONE) {
        request_free(r);
        return;
    }
    request_event(r, CW_EV_CALLER_CLOSED);
}

void entry_on_drained(cw_exchange_t* x, void* user) {
    (void)user;
    request_t* r = cw_exchange_data(x);
    if (r && r->call) {
        r->is_upstream_paused = false;
        r->last_progress_ms = node_now_ms();
        cw_call_resume(r->call);
    }
}

/* -- setup ---------------------------------------------------------------- */

entry_t* entry_setup(node_t* node) {
    entry_t* e = cw_alloc(NULL, 1, sizeof(*e));
    e->node = node;
    e->max_requests = node->settings.max_requests;
    e->requests = cw_alloc(NULL, e->max_requests, sizeof(*e->requests));
    e->free_requests = cw_alloc(NULL, e->max_requests, sizeof(*e->free_requests));
    e->estimates = cw_alloc(NULL, ENTRY_MAX_ESTIMATES, sizeof(*e->estimates));
    e->metrics = cw_alloc(NULL, ENTRY_MAX_METRICS, sizeof(*e->metrics));
    e->by_metric = cw_map_setup(ENTRY_MAX_METRICS, NULL);
    e->by_seq = cw_map_setup(2 * e->max_requests, NULL); /* a request may have a replacement's, too */
    e->timers = cw_heap_setup(e->max_requests, NULL);
    for (uint32_t i = e->max_requests; i-- > 0;) {
        e->free_requests[e->free_count++] = i;
    }
    e->retries = (cw_retry_budget_t){.share = node->settings.retry_ratio, .burst = RETRY_BURST, .tokens = RETRY_BURST};
    e->runonce = cw_runonce_setup(&(cw_runonce_desc_t){.host = node->settings.name,
                                                       .incarnation = node->incarnation,
                                                       .ticket_ms = node->settings.ticket_ms,
                                                       .max_records = 16384,
                                                       .free_response = response_free});
    dispatch_setup(e);
    suspects_setup(e);
    return e;
}

void entry_shutdown(entry_t* e) {
    for (uint32_t i = 0; i < e->max_requests; i++) {
        request_t* r = &e->requests[i];
        if (r->is_used) {
            if (r->call) {
                cw_call_cancel(r->call);
            }
            request_free(r);
        }
    }
    dispatch_shutdown(e);
    suspects_shutdown(e);
    cw_runonce_shutdown(e->runonce);
    cw_map_shutdown(&e->by_metric);
    cw_map_shutdown(&e->by_seq);
    cw_heap_shutdown(&e->timers);
    free(e->requests);
    free(e->free_requests);
    free(e->estimates);
    free(e->metrics);
    free(e);
}

entry_stats_t entry_stats(const entry_t* e) {
    return e->stats;
}

uint32_t entry_free_capacity_percent(const entry_t* e) {
    return 100 * e->free_count / e->max_requests;
}

cw_runonce_t* entry_runonce(const entry_t* e) {
    return e->runonce;
}

/* Writes a histogram in Prometheus text format, with cumulative buckets. */
static void write_hist(FILE* out, const char* name, const metric_t* m, const cw_hist_t* hist) {
    static const uint32_t bounds[] = {5, 10, 25, 50, 100, 250, 500, 1000, 2500, 5000, 10000, 30000, 60000};
    uint64_t cumulative_count = 0;
    uint32_t bucket = 0;
    for (size_t i = 0; i < sizeof(bounds) / sizeof(bounds[0]); i++) {
        while (bucket < CW_HIST_BUCKETS && cw_hist_upper_bound(bucket) <= bounds[i]) {
            cumulative_count += hist->buckets[bucket++];
        }
        fprintf(out, "%s_bucket{workspace=\"%s\",class=\"%s\",le=\"%u\"} %llu\n", name, m->workspace, m->class,
                bounds[i], (unsigned long long)cumulative_count);
    }
    fprintf(out, "%s_bucket{workspace=\"%s\",class=\"%s\",le=\"+Inf\"} %llu\n", name, m->workspace, m->class,
            (unsigned long long)hist->count);
    fprintf(out, "%s_sum{workspace=\"%s\",class=\"%s\"} %llu\n", name, m->workspace, m->class,
            (unsigned long long)hist->sum);
    fprintf(out, "%s_count{workspace=\"%s\",class=\"%s\"} %llu\n", name, m->workspace, m->class,
            (unsigned long long)hist->count);
}

char* entry_metrics(const entry_t* e) {
    char* text = NULL;
    size_t size = 0;
    FILE* out = open_memstream(&text, &size);
    fprintf(out, "# TYPE chalkway_requests_total counter\n");
    for (uint32_t i = 0; i < e->metric_count; i++) {
        const metric_t* m = &e->metrics[i];
        for (int o = CW_OUTCOME_DELIVERED; o < CW_OUTCOME_COUNT; o++) {
            fprintf(out, "chalkway_requests_total{workspace=\"%s\",class=\"%s\",outcome=\"%s\"} %llu\n", m->workspace,
                    m->class, cw_outcome_name((cw_outcome_t)o), (unsigned long long)m->outcomes[o]);
        }
        fprintf(out, "chalkway_in_time_total{workspace=\"%s\",class=\"%s\"} %llu\n", m->workspace, m->class,
                (unsigned long long)m->delivered_in_time);
    }
    fprintf(out, "# TYPE chalkway_request_ms histogram\n# TYPE chalkway_first_byte_ms histogram\n");
    for (uint32_t i = 0; i < e->metric_count; i++) {
        write_hist(out, "chalkway_request_ms", &e->metrics[i], &e->metrics[i].total_ms);
        write_hist(out, "chalkway_first_byte_ms", &e->metrics[i], &e->metrics[i].first_byte_ms);
    }
    fprintf(out, "chalkway_requests_active %u\n", e->stats.active);
    fprintf(out, "chalkway_retries_total %llu\n", (unsigned long long)e->stats.retries);
    fprintf(out, "chalkway_resumed_total %llu\n", (unsigned long long)e->stats.resumed_streams);
    fprintf(out, "chalkway_direct_total %llu\n", (unsigned long long)e->stats.direct_grants);
    fprintf(out, "chalkway_runonce_records %u\n", cw_runonce_count(e->runonce));
    suspects_write_metrics(e, out);
    fclose(out);
    return text;
}
