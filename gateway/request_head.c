#include "request_head.h"

#include <ctype.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <xxhash.h>

#define HEX_DIGITS "0123456789abcdefABCDEF"
#define HEX_DIGITS_MAX 16 /* digits of a 64-bit number */

static bool equals_ignoring_case(const char* name, const char* other) {
    return other && strcasecmp(name, other) == 0;
}

/* Whether the field is dropped: the gateway sets it itself, or no server may see it. */
static bool is_dropped(const dialect_t* d, const request_head_t* set, const char* name) {
    const dialect_fields_t* f = &d->fields;
    if (equals_ignoring_case(name, f->key) || equals_ignoring_case(name, f->workspace) ||
        equals_ignoring_case(name, f->server) || equals_ignoring_case(name, f->deadline_ms) ||
        equals_ignoring_case(name, f->priority) || equals_ignoring_case(name, f->fetch_from) ||
        (set->last_event && equals_ignoring_case(name, f->last_event))) {
        return true;
    }
    for (const char* const* reserved = f->reserved; reserved && *reserved; reserved++) {
        if (equals_ignoring_case(name, *reserved)) {
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
        if (!cw_message_is_hop_by_hop(request, field->name) && !is_dropped(d, set, field->name)) {
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
    cw_message_end_head(out);
}

void response_fields_write(cw_buffer_t* out, const cw_message_t* response) {
    for (uint32_t i = 0; i < response->field_count; i++) {
        const cw_field_t* field = &response->fields[i];
        if (!cw_message_is_hop_by_hop(response, field->name)) {
            cw_message_add_field(out, field->name, field->value);
        }
    }
}

/* -- fields that describe the request ------------------------------------- */

/* Reads a decimal number of at most 32 bits. Returns the text after it; NULL: there is no such number. */
static const char* read_count(const char* text, uint32_t* out) {
    char* end = NULL;
    errno = 0;
    unsigned long long value = isdigit((unsigned char)*text) ? strtoull(text, &end, 10) : 0;
    if (!end || errno == ERANGE || value > UINT32_MAX) {
        return NULL;
    }
    *out = (uint32_t)value;
    return end;
}

/* Reads "IN" or "IN,OUT". False: the text is malformed. */
static bool read_tokens(const char* text, uint32_t* in, uint32_t* out) {
    *out = 0;
    text = read_count(text, in);
    if (text && *text == ',') {
        text = read_count(text + 1, out);
    }
    return text && !*text;
}

/* The id of a part from its name in hex: the number, or a hash of a name that is too long for one. Never 0. */
static uint64_t part_id(const char* name, size_t length) {
    char text[HEX_DIGITS_MAX + 1];
    if (length > HEX_DIGITS_MAX) {
        return XXH3_64bits(name, length) | 1U;
    }
    memcpy(text, name, length);
    text[length] = 0;
    uint64_t id = strtoull(text, NULL, 16);
    return id ? id : 1;
}

uint64_t request_part_id(const char* name) {
    size_t length = strspn(name, HEX_DIGITS);
    return length && !name[length] ? part_id(name, length) : 0;
}

/* Reads one "ID:TOKENS" of a list. Returns the text after it; NULL: it is malformed. */
static const char* read_part(const char* text, cw_prompt_part_t* part) {
    size_t length = strspn(text, HEX_DIGITS);
    if (!length || text[length] != ':') {
        return NULL;
    }
    part->id = part_id(text, length);
    return read_count(text + length + 1, &part->tokens);
}

/* Reads a list of parts and keeps the first CW_PROMPT_PARTS of them in work. work NULL: only checks the list.
   False: the list is malformed. */
static bool read_parts(cw_work_t* work, const char* text) {
    while (*text) {
        cw_prompt_part_t part;
        text = read_part(text, &part);
        if (!text || (*text && (*text != ',' || !text[1]))) {
            return false;
        }
        if (work && work->part_count < CW_PROMPT_PARTS) {
            work->parts[work->part_count++] = part;
        }
        text += *text == ',';
    }
    return true;
}

void request_suspects_read(cw_suspects_t* suspects, const dialect_t* d, const cw_message_t* request) {
    const char* text = d->fields.parts ? cw_message_field(request, d->fields.parts) : NULL;
    cw_prompt_part_t part;
    while (text) {
        text = read_part(text, &part);
        if (text && *text) {
            cw_suspects_add_part(suspects, part.id);
        }
        text = text && *text ? text + 1 : NULL;
    }
}

void request_work_read(cw_work_t* work, const dialect_t* d, const cw_message_t* request) {
    const char* tokens = d->fields.tokens ? cw_message_field(request, d->fields.tokens) : NULL;
    const char* parts = d->fields.parts ? cw_message_field(request, d->fields.parts) : NULL;
    if (tokens) {
        read_tokens(tokens, &work->prompt_tokens, &work->output_tokens);
    }
    if (parts) {
        read_parts(work, parts);
    }
}

request_run_t request_run_read(const dialect_t* d, const cw_message_t* request) {
    const char* event = cw_message_field(request, d->fields.last_event);
    const char* text = d->fields.parts ? cw_message_field(request, d->fields.parts) : NULL;
    request_run_t run = {.events = 1};
    cw_prompt_part_t part = {0};
    uint32_t events = 0;
    const char* end = event ? read_count(event, &events) : NULL;
    if (!end || *end) {
        return run;
    }
    while (text && *text) {
        text = read_part(text, &part);
        text = text && *text ? text + 1 : text;
    }
    if (text) {
        run.events = events ? events : 1;
        run.part = part;
    }
    return run;
}

bool request_deadline_read(const dialect_t* d, const cw_message_t* request, double* ms) {
    const char* text = cw_message_field(request, d->fields.deadline_ms);
    char* end = NULL;
    *ms = 0;
    if (!text) {
        return true;
    }
    if (text[strspn(text, "0123456789.")] || !isdigit((unsigned char)*text)) {
        return false;
    }
    *ms = strtod(text, &end);
    return !*end;
}

const char* request_resumes(const dialect_t* d, const cw_message_t* request) {
    const char* id = d->fields.resumes ? cw_message_field(request, d->fields.resumes) : NULL;
    return id ? id : "";
}

/* Whether the text can be the id of a request: visible characters that log lines hold without escaping. */
static bool is_request_id(const char* text) {
    for (const char* c = text; *c; c++) {
        if (!isgraph((unsigned char)*c) || *c == '"') {
            return false;
        }
    }
    return text[0] != 0;
}

const char* request_fields_check(const dialect_t* d, const cw_message_t* request) {
    const dialect_fields_t* f = &d->fields;
    const char* const single_fields[] = {f->request_id, f->deadline_ms, f->key,    f->tokens,
                                         f->parts,      f->last_event,  f->resumes};
    for (size_t i = 0; i < sizeof(single_fields) / sizeof(single_fields[0]); i++) {
        if (single_fields[i] && cw_message_count_field(request, single_fields[i]) > 1) {
            return single_fields[i];
        }
    }
    uint32_t in = 0;
    uint32_t out = 0;
    double deadline_ms = 0;
    const char* tokens = f->tokens ? cw_message_field(request, f->tokens) : NULL;
    const char* parts = f->parts ? cw_message_field(request, f->parts) : NULL;
    if (!request_deadline_read(d, request, &deadline_ms)) {
        return f->deadline_ms;
    }
    if (tokens && !read_tokens(tokens, &in, &out)) {
        return f->tokens;
    }
    if (f->resumes && cw_message_field(request, f->resumes) && !is_request_id(request_resumes(d, request))) {
        return f->resumes;
    }
    return parts && !read_parts(NULL, parts) ? f->parts : NULL;
}

char* request_key_read(const dialect_t* d, const cw_message_t* request) {
    const char* value = cw_message_field(request, d->fields.key);
    size_t scheme = strlen(d->fields.key_scheme);
    if (!value || strncasecmp(value, d->fields.key_scheme, scheme) != 0 || value[scheme] != ' ') {
        return NULL;
    }
    value += scheme;
    value += strspn(value, " ");
    size_t length = strcspn(value, " \t");
    return length ? strndup(value, length) : NULL;
}
