/* What the heads of a server's answers say of the server itself, whichever request they answer. */
#include <string.h>

#include "clock.h"
#include "upstream_parts.h"

/* Another server may have the address now: what it says is no word of this one. */
static bool speaks_for(const server_t* s, const cw_message_t* head) {
    const dialect_t* d = s->pool->upstreams->desc.dialect;
    const char* id = d->fields.server_id ? cw_message_field(head, d->fields.server_id) : NULL;
    return head->status != d->misdirected_status && (!id || strcmp(id, s->published.id) == 0);
}

static void log_unreadable(const server_t* s, const char* field, const char* value) {
    cw_log(s->pool->upstreams->desc.log, CW_EVENT_PUSHBACK_UNREADABLE, "server=%s pool=%s field=%s value=\"%.40s\"",
           s->published.id, s->pool->name, field, value);
}

static void hear_limit(server_t* s, const cw_message_t* head, bool final) {
    const upstreams_desc_t* desc = &s->pool->upstreams->desc;
    const char* field = desc->dialect->fields.limit;
    const char* text = field ? cw_message_field(head, field) : NULL;
    double before = s->limit_per_s;
    if (text && !cw_pushback_limit(text, &s->limit_per_s)) {
        log_unreadable(s, field, text);
    } else if (!text && final) {
        s->limit_per_s = SERVER_UNLIMITED;
    }
    if (s->limit_per_s != before) {
        cw_log(desc->log, CW_EVENT_SERVER_LIMITED, "server=%s pool=%s per_s=%.3f was_per_s=%.3f", s->published.id,
               s->pool->name, s->limit_per_s, before);
    }
}

void server_hear(server_t* s, const cw_message_t* head) {
    if (speaks_for(s, head)) {
        hear_limit(s, head, head->status / 100 != 1);
    }
}
