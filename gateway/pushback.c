/* Evaluates what the head of a response announces about its server: leaving, backoff, advertised rate and limit on
   rejections. Whichever request a head responds to, it describes the server, and the choice of a server must take it
   into account. */
#include <string.h>

#include "clock.h"
#include "upstream_internal.h"

#define NO_LIMIT (-1.0)
#define LEAVING_VALUE "1"
#define STATUS_UNAVAILABLE 503
#define STATUS_TOO_MANY 429
#define BACKOFF_MAX_MS 1800000

/* Whether the response is from server s. Another server may have its address now, and announces nothing about s. */
static bool is_from_server(const server_t* s, const cw_message_t* head) {
    const dialect_t* d = s->pool->upstreams->desc.dialect;
    const char* id = d->fields.server_id ? cw_message_field(head, d->fields.server_id) : NULL;
    return head->status != d->misdirected_status && (!id || strcmp(id, s->published.id) == 0);
}

static void notify_pushback(const server_t* s) {
    const upstreams_desc_t* desc = &s->pool->upstreams->desc;
    if (desc->on_pushback) {
        desc->on_pushback(desc->user_data, s);
    }
}

static void log_malformed(const server_t* s, const char* field, const char* value) {
    cw_log(s->pool->upstreams->desc.log, CW_EVENT_PUSHBACK_UNREADABLE, "server=%s pool=%s field=%s value=\"%.40s\"",
           s->published.id, s->pool->name, field, value);
}

/* Reads a limit per second from the field, NO_LIMIT if the response has none: only a final response without the field
   withdraws a limit. False: the response announces nothing, since it is an interim one or the field is malformed. */
static bool read_limit(const server_t* s, const cw_message_t* head, const char* field, double* per_s) {
    const char* text = field ? cw_message_field(head, field) : NULL;
    *per_s = NO_LIMIT;
    if (!text) {
        return head->status / 100 != 1;
    }
    if (!cw_pushback_parse_rate(text, per_s)) {
        log_malformed(s, field, text);
        return false;
    }
    return true;
}

static void read_advertised_rate(server_t* s, const cw_message_t* head, int64_t sent_ms) {
    cw_balance_t* balance = s->pool->balance;
    int64_t now_ms = clock_ms();
    double previous_per_s = cw_balance_rate_per_s(balance, now_ms, s->key);
    double per_s = NO_LIMIT;
    if (read_limit(s, head, s->pool->upstreams->desc.dialect->fields.limit, &per_s) &&
        cw_balance_on_rate(balance, now_ms, s->key, sent_ms, per_s)) {
        server_log_rate_limit(s, now_ms, previous_per_s, 0);
        notify_pushback(s);
    }
}

static void read_reject_limit(server_t* s, const cw_message_t* head, int64_t sent_ms) {
    const upstreams_desc_t* desc = &s->pool->upstreams->desc;
    double per_s = NO_LIMIT;
    if (read_limit(s, head, desc->dialect->fields.reject_limit, &per_s) &&
        cw_balance_on_reject_limit(s->pool->balance, clock_ms(), s->key, sent_ms, per_s)) {
        cw_log(desc->log, CW_EVENT_REJECT_LIMIT, "server=%s pool=%s per_s=%.0f", s->published.id, s->pool->name, per_s);
        notify_pushback(s);
    }
}

/* The server's announcement suffices: the source may be unavailable, or list the server as leaving only later. */
static void read_leaving(server_t* s, const cw_message_t* head) {
    const upstreams_desc_t* desc = &s->pool->upstreams->desc;
    const char* field = desc->dialect->fields.leaving;
    const char* text = field ? cw_message_field(head, field) : NULL;
    if (!text || s->is_leaving) {
        return;
    }
    if (strcmp(text, LEAVING_VALUE) != 0) {
        log_malformed(s, field, text);
        return;
    }
    cw_log(desc->log, CW_EVENT_SERVER_LEAVES, "server=%s pool=%s reason=\"its answers say so\"", s->published.id,
           s->pool->name);
    upstreams_mark_leaving(s->pool->upstreams, clock_ms(), s);
    notify_pushback(s);
}

/* The backoff is for this host alone. Other hosts that the server rejects get a Retry-After of their own. */
static void read_retry_after(server_t* s, const cw_message_t* head) {
    const upstreams_desc_t* desc = &s->pool->upstreams->desc;
    const char* field = desc->dialect->fields.retry_after;
    bool is_rejected = head->status == STATUS_UNAVAILABLE || head->status == STATUS_TOO_MANY;
    const char* text = is_rejected ? cw_message_field(head, field) : NULL;
    uint32_t max_ms = desc->backoff_max_ms ? desc->backoff_max_ms : BACKOFF_MAX_MS;
    uint32_t backoff_ms = 0;
    if (text && !cw_pushback_parse_retry_after(text, max_ms, &backoff_ms)) {
        log_malformed(s, field, text);
    } else if (backoff_ms) {
        cw_balance_back_off(s->pool->balance, clock_ms(), s->key, backoff_ms);
        cw_log(desc->log, CW_EVENT_SERVER_RESTS, "server=%s pool=%s rest_ms=%u", s->published.id, s->pool->name,
               backoff_ms);
    }
}

void server_read_pushback(server_t* s, const cw_message_t* head, int64_t sent_ms) {
    if (is_from_server(s, head)) {
        read_leaving(s, head);
        read_retry_after(s, head);
        read_advertised_rate(s, head, sent_ms);
        read_reject_limit(s, head, sent_ms);
    }
}
