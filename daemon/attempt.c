/* One attempt of a request at an upstream, and what it forwards to the caller. */
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "entry_internal.h"

#define STREAM_HIGH_WATER_BYTES 262144 /* unsent output at which reading from the upstream is paused */
#define EVENT_MAX_BYTES (1U << 20)     /* of a stream; a longer one never ends */
#define BODY_MAX_BYTES UINT64_MAX      /* streams have no limit; other responses are limited by the settings */

#define HTTP_OK 200
#define HTTP_SERVER_ERROR 500
#define HTTP_BAD_GATEWAY 502
#define HTTP_UNAVAILABLE 503

static const char sse_type[] = "text/event-stream";
static const char version_header[] = "Chalkway-Version";
static const char request_id_header[] = "Chalkway-Request-Id";

/* Called before the first byte is sent; false vetoes the attempt, since the grant has expired. */
static bool on_sending(void* user) {
    request_t* r = user;
    if (node_now_ms() > r->grant_expires_ms || !suspects_on_sending(r)) {
        return false;
    }
    r->sent_ms = node_now_ms();
    r->last_progress_ms = r->sent_ms;
    request_event(r, CW_EV_SENDING);
    return true;
}

static void begin_stream(request_t* r) {
    const cw_header_t headers[] = {
        {"Content-Type", sse_type}, {"Cache-Control", "no-cache"}, {request_id_header, r->id}};
    r->is_streaming = true;
    cw_exchange_stream(r->x, HTTP_OK, headers, 3);
}

static void attempt_failed(request_t* r, const cw_call_result_t* result);

/* A response that arrives late on a kept connection may belong to an earlier request. False: the attempt was ended,
   since the response names another request. */
static bool check_request_id(request_t* r) {
    const char* id = cw_call_header(r->call, request_id_header);
    if (!id || strcmp(id, r->id) == 0) {
        return true;
    }
    const cw_call_result_t result = {.sent = true, .message = "the response names another request"};
    attempt_failed(r, &result);
    return false;
}

/* Reads the software version that the upstream states; false: the attempt was ended, since it is not that of the
   stream. */
static bool check_version(request_t* r) {
    const char* version = cw_call_header(r->call, version_header);
    r->response_version = version && version[0] ? cw_name_id(version) : 0;
    if (!r->stream.tokens || r->response_version == r->stream_version) {
        return true;
    }
    const cw_call_result_t result = {
        .sent = true, .status = r->upstream_status, .message = "its software version did not begin the stream"};
    r->is_other_version = true;
    attempt_failed(r, &result);
    return false;
}

static void on_head(void* user, unsigned status, const char* content_type) {
    request_t* r = user;
    if (!check_request_id(r)) {
        return;
    }
    r->upstream_status = status;
    cw_copy(r->upstream_type, sizeof(r->upstream_type), content_type);
    r->first_byte_ms = r->first_byte_ms ? r->first_byte_ms : node_now_ms();
    request_event(r, CW_EV_RESPONSE_HEAD);
    r->sends_events = status == HTTP_OK && strncmp(content_type, sse_type, sizeof(sse_type) - 1) == 0;
    if (r->sends_events && !check_version(r)) {
        return;
    }
    if (r->sends_events && r->wants_stream && r->x && !r->is_streaming) {
        begin_stream(r);
    }
}

/* Appends to the buffered response. Fails the request and returns false if the response exceeds max_response_bytes. */
static bool buffer_response(request_t* r, const char* data, size_t size) {
    if (r->response.body.size + size <= r->entry->node->settings.max_response_bytes) {
        cw_buffer_add(&r->response.body, data, size);
        return true;
    }
    request_set_error(r, HTTP_BAD_GATEWAY, "answer-too-long", "answer", r->response.peer,
                      "the upstream's answer is longer than max_answer", 0);
    r->machine.is_retry_allowed = false;
    request_event(r, CW_EV_UPSTREAM_FAILED);
    return false;
}

/* The first event binds the stream to the version of the process that sent it. */
static void bind_stream(request_t* r) {
    r->stream_version = r->response_version;
    r->machine.resumable = r->machine.resumable && r->stream_version;
}

/* Forwards the events that are complete; the start of an incomplete one stays in partial_event. */
static void forward_events(request_t* r, const char* data, size_t size) {
    if (r->stream.ended) {
        return;
    }
    if (r->partial_event.size + size > EVENT_MAX_BYTES) {
        const cw_call_result_t result = {
            .sent = true, .status = r->upstream_status, .message = "an event of the stream is too long"};
        attempt_failed(r, &result);
        return;
    }
    cw_buffer_add(&r->partial_event, data, size);
    size_t complete_bytes = cw_token_stream_take(&r->stream, r->partial_event.data, r->partial_event.size);
    if (!complete_bytes) {
        return;
    }
    if (r->x) {
        if (!r->machine.has_forwarded_body) {
            bind_stream(r);
        }
        cw_exchange_push(r->x, r->partial_event.data, complete_bytes);
        request_event(r, CW_EV_BODY_FORWARDED);
    }
    cw_buffer_consume(&r->partial_event, complete_bytes);
}

static bool on_data(void* user, const char* data, size_t size) {
    request_t* r = user;
    if (r->next_seek_ms) {
        replacement_cancel(r); /* it is not silent any more */
    }
    if (r->is_streaming && r->x && cw_exchange_pending(r->x) > STREAM_HIGH_WATER_BYTES) {
        r->is_upstream_paused = true;
        return false;
    }
    r->last_progress_ms = node_now_ms();
    suspects_on_data(r);
    if (!r->is_streaming || r->runonce_record != CW_RUN_NONE) {
        if (!buffer_response(r, data, size)) {
            return true;
        }
    }
    if (r->is_streaming && r->sends_events) {
        forward_events(r, data, size);
    }
    return true;
}

/* Returns the number of generated tokens that the response states, or 0. */
static uint32_t parse_completion_tokens(const response_t* response) {
    json_t* root = json_loadb(cw_buffer_text(&response->body), response->body.size, 0, NULL);
    json_int_t tokens = json_integer_value(json_object_get(json_object_get(root, "usage"), "completion_tokens"));
    json_decref(root);
    return tokens > 0 ? (uint32_t)tokens : 0;
}

/* Updates the estimates of cost and run time of the request's class and pool from a completed attempt. */
static void update_estimates(request_t* r) {
    uint32_t output = r->stream.tokens;
    if (r->pool->is_engine && !r->is_streaming) {
        output = parse_completion_tokens(&r->response);
    }
    if (output) {
        cw_estimate_add(&r->estimate->cost, output);
        r->cost = (uint32_t)(r->body_size / 32) + output;
    }
    cw_estimate_add(&r->estimate->run_time_ms, (uint32_t)(node_now_ms() - r->sent_ms));
}

static void attempt_ended(request_t* r) {
    response_t* response = &r->response;
    response->status = r->upstream_status;
    cw_copy(response->type, sizeof(response->type), r->upstream_type);
    bool is_served = r->upstream_status < HTTP_SERVER_ERROR;
    if (is_served) {
        update_estimates(r);
        suspects_on_response(r);
    }
    request_event(r, CW_EV_RESPONSE_END);
}

bool attempt_settle(request_t* r) {
    if (!r->stream.ended || !r->call) {
        return false;
    }
    cw_call_cancel(r->call);
    r->call = NULL;
    attempt_ended(r);
    return true;
}

void attempt_missed_deadline(request_t* r) {
    if (r->sent_ms && r->grant) {
        cw_estimate_add(&r->estimate->run_time_ms, (uint32_t)(node_now_ms() - r->sent_ms));
    }
}

/* Notes that the attempt failed, and with which error the request ends if there is no other. */
static void record_failure(request_t* r, const cw_call_result_t* result) {
    const cw_upstream_t* u = cw_snapshot_upstream(r->snapshot, r->upstream);
    const char* step = !result->sent ? "connect" : result->status ? "answer" : "wait";
    request_set_error(r, HTTP_BAD_GATEWAY, "upstream-failed", step, u ? u->address : "", result->message, 0);
    cw_log(&r->entry->node->log, CW_EVENT_UPSTREAM_FAILED, "id=%s step=%s peer=%s reason=\"%s\"", r->id, step,
           u ? u->address : "-", result->message);
    r->excluded_upstream = r->upstream;
    r->first_shard = r->shard;
}

static void attempt_failed(request_t* r, const cw_call_result_t* result) {
    record_failure(r, result);
    r->machine.is_retry_allowed = cw_retry_budget_take(&r->entry->retries);
    r->entry->stats.retries += r->machine.is_retry_allowed;
    request_event(r, result->sent ? CW_EV_UPSTREAM_FAILED : CW_EV_CONNECT_FAILED);
}

static void on_done(void* user, const cw_call_result_t* result) {
    request_t* r = user;
    r->call = NULL;
    r->upstream_status = result->status ? result->status : r->upstream_status;
    /* The end event of a stream shows its end, however the connection ends. */
    bool is_response_complete = r->is_streaming ? r->stream.ended : result->is_complete;
    bool is_busy = is_response_complete && result->status == HTTP_UNAVAILABLE && r->class->repeatable;
    if (result->is_vetoed) {
        request_event(r, CW_EV_GRANT_EXPIRED);
    } else if (is_busy) {
        const cw_call_result_t refused = {
            .sent = true, .status = result->status, .message = "the upstream takes no work"};
        attempt_failed(r, &refused);
    } else if (is_response_complete) {
        attempt_ended(r);
    } else {
        if (result->sent) {
            suspects_on_broken(r);
        }
        attempt_failed(r, result);
    }
}

void attempt_begin(request_t* r) {
    entry_t* e = r->entry;
    cw_snapshot_t* newest = cw_store_snapshot(e->node->store);
    const cw_upstream_t* u = cw_snapshot_upstream(newest, r->upstream);
    if (!u) {
        u = cw_snapshot_upstream(r->snapshot, r->upstream); /* removed after this request arrived */
    }
    r->upstream_version = u ? u->version_id : 0;
    char url[CW_ADDRESS_MAX + 300];
    char tier[8];
    char from[16];
    snprintf(url, sizeof(url), "http://%s%s", u ? u->address : "0.0.0.0:1", r->path);
    snprintf(tier, sizeof(tier), "%u", r->class->tier);
    cw_header_t headers[5] = {{"Content-Type", r->type}, {request_id_header, r->id}, {"Chalkway-Priority", tier}};
    uint32_t count = 3;
    if (r->idempotency_key[0] && u && u->deduplicates_calls) {
        headers[count++] = (cw_header_t){"Idempotency-Key", r->idempotency_key};
    }
    if (r->stream.tokens) {
        snprintf(from, sizeof(from), "%u", r->stream.tokens);
        headers[count++] = (cw_header_t){"Chalkway-Resume-From", from};
        cw_log(&e->node->log, CW_EVENT_STREAM_VERSION, "id=%s pool=%s upstream=%s version_key=%016llx from=%s", r->id,
               r->pool->name, u ? u->name : "-", (unsigned long long)r->stream_version, from);
        e->stats.resumed_streams++;
    }
    cw_snapshot_release(newest);
    r->sent_ms = r->body_began_ms = 0;
    r->has_survived_start = false;
    r->is_other_version = false;
    r->partial_event.size = 0;
    r->is_upstream_paused = false;
    r->response.body.size = 0;
    r->call = cw_client_call(e->node->client, &(cw_call_desc_t){.method = r->method,
                                                                .url = url,
                                                                .headers = headers,
                                                                .header_count = count,
                                                                .body = r->body,
                                                                .size = r->body_size,
                                                                .use_new_connection = !r->class->repeatable,
                                                                .max_body_bytes = BODY_MAX_BYTES,
                                                                .on_sending = on_sending,
                                                                .on_head = on_head,
                                                                .on_data = on_data,
                                                                .on_done = on_done,
                                                                .user_data = r});
}

static cw_call_result_t stall_result(const request_t* r) {
    return (cw_call_result_t){.sent = true, .status = r->upstream_status, .message = "no token came for too long"};
}

void attempt_stalled(request_t* r) {
    const cw_call_result_t result = stall_result(r);
    attempt_failed(r, &result);
}

void attempt_replaced(request_t* r) {
    const cw_call_result_t result = stall_result(r);
    record_failure(r, &result);
    r->machine.is_retry_allowed = true;
    request_event(r, CW_EV_UPSTREAM_FAILED);
}
