#include "request_head.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

static bool is(const char* name, const char* other) {
    return other && strcasecmp(name, other) == 0;
}

/* Fields that the gateway sets itself or that no server may see. */
static bool dropped(const dialect_t* d, const request_head_t* set, const char* name) {
    const dialect_fields_t* f = &d->fields;
    if (is(name, f->key) || is(name, f->workspace) || is(name, f->server) || is(name, f->deadline_ms) ||
        is(name, f->priority) || is(name, f->fetch_from) || (set->last_event && is(name, f->last_event))) {
        return true;
    }
    for (const char* const* owned = f->owned; owned && *owned; owned++) {
        if (is(name, *owned)) {
            return true;
        }
    }
    return false;
}

static void add_framing(cw_buffer_t* out, const cw_message_t* request, size_t body_size) {
    if (request->framing == CW_FRAMING_CHUNKED) {
        cw_message_add_field(out, "Transfer-Encoding", "chunked");
    } else if (request->framing == CW_FRAMING_LENGTH) {
        cw_message_add_text(out, "Content-Length: %zu\r\n", body_size);
    }
}

void request_head_write(cw_buffer_t* out, const dialect_t* d, const cw_message_t* request, const request_head_t* set) {
    cw_buffer_add(out, request->method, strlen(request->method));
    cw_buffer_add(out, " ", 1);
    cw_buffer_add(out, request->target, strlen(request->target));
    cw_buffer_add(out, " HTTP/1.1\r\n", 11);
    for (uint32_t i = 0; i < request->field_count; i++) {
        const cw_field_t* field = &request->fields[i];
        if (!cw_message_hop_field(request, field->name) && !dropped(d, set, field->name)) {
            cw_message_add_field(out, field->name, field->value);
        }
    }
    if (!cw_message_field(request, d->fields.request_id)) {
        cw_message_add_field(out, d->fields.request_id, set->request_id);
    }
    cw_message_add_text(out, "%s: %u\r\n", d->fields.deadline_ms, set->deadline_ms);
    cw_message_add_field(out, d->fields.server, set->server);
    if (set->workspace) {
        cw_message_add_field(out, d->fields.workspace, set->workspace);
    }
    if (set->has_priority && d->fields.priority) {
        uint32_t priority = set->priority < d->priority_max ? set->priority : d->priority_max;
        cw_message_add_text(out, "%s: %u\r\n", d->fields.priority, priority);
    }
    if (set->fetch_from && d->fields.fetch_from) {
        cw_message_add_field(out, d->fields.fetch_from, set->fetch_from);
    }
    if (set->last_event) {
        cw_message_add_field(out, d->fields.last_event, set->last_event);
    }
    add_framing(out, request, set->body_size);
    cw_message_add_end(out);
}

void answer_fields_write(cw_buffer_t* out, const cw_message_t* answer) {
    for (uint32_t i = 0; i < answer->field_count; i++) {
        const cw_field_t* field = &answer->fields[i];
        if (!cw_message_hop_field(answer, field->name)) {
            cw_message_add_field(out, field->name, field->value);
        }
    }
}

static void read_parts(cw_work_t* work, const char* text) {
    while (*text && work->part_count < CW_WORK_PARTS) {
        char* end = NULL;
        uint64_t id = strtoull(text, &end, 16);
        if (end == text || *end != ':') {
            return;
        }
        text = end + 1;
        unsigned long tokens = strtoul(text, &end, 10);
        if (end == text) {
            return;
        }
        work->parts[work->part_count++] = (cw_work_part_t){.id = id ? id : 1, .tokens = (uint32_t)tokens};
        text = *end == ',' ? end + 1 : end;
    }
}

void request_work_read(cw_work_t* work, const dialect_t* d, const cw_message_t* request) {
    const char* tokens = d->fields.tokens ? cw_message_field(request, d->fields.tokens) : NULL;
    const char* parts = d->fields.parts ? cw_message_field(request, d->fields.parts) : NULL;
    if (tokens) {
        char* end = NULL;
        work->prompt_tokens = (uint32_t)strtoul(tokens, &end, 10);
        work->output_tokens = *end == ',' ? (uint32_t)strtoul(end + 1, NULL, 10) : 0;
    }
    if (parts) {
        read_parts(work, parts);
    }
}

bool request_key_read(const dialect_t* d, const cw_message_t* request, char* out, size_t size) {
    const char* value = cw_message_field(request, d->fields.key);
    size_t scheme = strlen(d->fields.key_scheme);
    if (!value || strncasecmp(value, d->fields.key_scheme, scheme) != 0 || value[scheme] != ' ') {
        return false;
    }
    value += scheme;
    value += strspn(value, " ");
    size_t length = strcspn(value, " \t");
    if (!length || length >= size) {
        return false;
    }
    memcpy(out, value, length);
    out[length] = 0;
    return true;
}
