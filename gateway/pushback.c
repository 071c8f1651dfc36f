/* What the heads of a server's answers say of the server itself, whichever request they answer: each head is a report
   of its server, and the choice of a server must hear it. */
#include <string.h>

#include "clock.h"
#include "upstream_parts.h"

#define NO_LIMIT (-1.0)
#define LEAVING "1"
#define STATUS_UNAVAILABLE 503
#define STATUS_TOO_MANY 429
#define REST_MAX_MS 1800000

/* Another server may have the address now: what it says is no word of this one. */
static bool speaks_for(const server_t* s, const cw_message_t* head) {
    const dialect_t* d = s->pool->upstreams->desc.dialect;
    const char* id = d->fields.server_id ? cw_message_field(head, d->fields.server_id) : NULL;
    return head->status != d->misdirected_status && (!id || strcmp(id, s->published.id) == 0);
}

/* The other hosts are to hear of it. */
static void tell(const server_t* s) {
    const upstreams_desc_t* desc = &s->pool->upstreams->desc;
    if (desc->on_pushback) {
        desc->on_pushback(desc->user_data, s);
    }
}

static void log_unreadable(const server_t* s, const char* field, const char* value) {
    cw_log(s->pool->upstreams->desc.log, CW_EVENT_PUSHBACK_UNREADABLE, "server=%s pool=%s field=%s value=\"%.40s\"",
           s->published.id, s->pool->name, field, value);
}

/* Only a final answer without a rate says that there is none. */
static void hear_limit(server_t* s, const cw_message_t* head, int64_t sent_ms) {
    const upstreams_desc_t* desc = &s->pool->upstreams->desc;
    cw_balance_t* balance = s->pool->balance;
    const char* field = desc->dialect->fields.limit;
    const char* text = field ? cw_message_field(head, field) : NULL;
    int64_t now_ms = clock_ms();
    double before = cw_balance_limit_per_s(balance, now_ms, s->key);
    double per_s = NO_LIMIT;
    if (text && !cw_pushback_limit(text, &per_s)) {
        log_unreadable(s, field, text);
        return;
    }
    if (!text && head->status / 100 == 1) {
        return;
    }
    if (cw_balance_limit(balance, now_ms, s->key, sent_ms, per_s)) {
        server_log_limit(s, now_ms, before, 0);
        tell(s);
    }
}

/* The source may be away, or tell it later: the server's own word is enough. */
static void hear_leaving(server_t* s, const cw_message_t* head) {
    const upstreams_desc_t* desc = &s->pool->upstreams->desc;
    const char* field = desc->dialect->fields.leaving;
    const char* text = field ? cw_message_field(head, field) : NULL;
    if (!text || s->departs) {
        return;
    }
    if (strcmp(text, LEAVING) != 0) {
        log_unreadable(s, field, text);
        return;
    }
    cw_log(desc->log, CW_EVENT_SERVER_LEAVES, "server=%s pool=%s reason=\"its answers say so\"", s->published.id,
           s->pool->name);
    upstreams_departs(s->pool->upstreams, clock_ms(), s);
    tell(s);
}

/* It asks this host alone: the others are turned away, and told, for themselves. */
static void hear_rest(server_t* s, const cw_message_t* head) {
    const upstreams_desc_t* desc = &s->pool->upstreams->desc;
    const char* field = desc->dialect->fields.retry_after;
    bool turned_away = head->status == STATUS_UNAVAILABLE || head->status == STATUS_TOO_MANY;
    const char* text = turned_away ? cw_message_field(head, field) : NULL;
    uint32_t max_ms = desc->rest_max_ms ? desc->rest_max_ms : REST_MAX_MS;
    uint32_t rest_ms = 0;
    if (text && !cw_pushback_rest(text, max_ms, &rest_ms)) {
        log_unreadable(s, field, text);
    } else if (rest_ms) {
        cw_balance_rest(s->pool->balance, clock_ms(), s->key, rest_ms);
        cw_log(desc->log, CW_EVENT_SERVER_RESTS, "server=%s pool=%s rest_ms=%u", s->published.id, s->pool->name,
               rest_ms);
    }
}

void server_hear(server_t* s, const cw_message_t* head, int64_t sent_ms) {
    if (speaks_for(s, head)) {
        hear_leaving(s, head);
        hear_rest(s, head);
        hear_limit(s, head, sent_ms);
    }
}
