#include "message.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <strings.h>

#define FORMAT_MAX_BYTES 512
/* http-parser: returned by on_headers_complete. */
#define SKIP_BODY 1 /* no body follows */
#define HEAD_INVALID (-1)

static size_t text_append(cw_message_t* m, const char* data, size_t size) {
    size_t at = m->text.size;
    cw_buffer_add(&m->text, data, size);
    return at;
}

static void text_terminate(cw_message_t* m) {
    cw_buffer_add(&m->text, "", 1);
}

static int on_begin(http_parser* p) {
    cw_message_t* m = p->data;
    m->state = CW_MESSAGE_HEAD;
    return 0;
}

static int on_url(http_parser* p, const char* at, size_t size) {
    text_append(p->data, at, size);
    return 0;
}

static int on_field_name(http_parser* p, const char* at, size_t size) {
    cw_message_t* m = p->data;
    if (m->state != CW_MESSAGE_HEAD) {
        return 0; /* trailer field: ignored, because appending to text would invalidate the pointers in fields */
    }
    if (memchr(at, ' ', size)) {
        return 1; /* RFC 9112, 5.1: http-parser accepts a space in a name, but a server might ignore the space */
    }
    if (m->is_in_value || m->field_count == 0) {
        if (m->field_count == CW_MESSAGE_MAX_FIELDS) {
            return 1;
        }
        text_terminate(m); /* terminates the target or the previous value */
        m->is_in_value = false;
        m->offsets[(size_t)2 * m->field_count] = (uint32_t)m->text.size;
        m->field_count++;
    }
    text_append(m, at, size);
    return 0;
}

static int on_field_value(http_parser* p, const char* at, size_t size) {
    cw_message_t* m = p->data;
    if (m->state != CW_MESSAGE_HEAD) {
        return 0;
    }
    if (!m->is_in_value) {
        text_terminate(m);
        m->is_in_value = true;
        m->offsets[(size_t)2 * m->field_count - 1] = (uint32_t)m->text.size;
    }
    text_append(m, at, size);
    return 0;
}

bool cw_message_status_has_body(unsigned status) {
    return status / 100 != 1 && status != 204 && status != 304;
}

static bool has_body(const cw_message_t* m) {
    return !m->is_bodiless && (m->parser.type == HTTP_REQUEST || cw_message_status_has_body(m->parser.status_code));
}

/* A response that must not have a length states none, even if it has the field (RFC 9110, 8.6). */
static bool may_state_length(const http_parser* p) {
    return p->type == HTTP_REQUEST || (p->status_code / 100 != 1 && p->status_code != 204);
}

static cw_framing_t framing(const http_parser* p, const cw_message_t* m) {
    if ((p->flags & F_CHUNKED) && has_body(m)) {
        return CW_FRAMING_CHUNKED;
    }
    if ((p->flags & F_CONTENTLENGTH) && may_state_length(p)) {
        return CW_FRAMING_LENGTH;
    }
    return p->type == HTTP_REQUEST || !has_body(m) ? CW_FRAMING_NONE : CW_FRAMING_UNTIL_CLOSE;
}

static int on_head_complete(http_parser* p) {
    cw_message_t* m = p->data;
    if (p->type == HTTP_RESPONSE && p->status_code == HTTP_STATUS_SWITCHING_PROTOCOLS) {
        return HEAD_INVALID;
    }
    text_terminate(m);
    m->target = m->text.data;
    m->method = p->type == HTTP_REQUEST ? http_method_str((enum http_method)p->method) : NULL;
    m->status = p->status_code;
    for (uint32_t i = 0; i < m->field_count; i++) {
        m->fields[i].name = m->text.data + m->offsets[(size_t)2 * i];
        m->fields[i].value = m->text.data + m->offsets[(size_t)2 * i + 1];
    }
    m->framing = framing(p, m);
    m->length = m->framing == CW_FRAMING_LENGTH ? p->content_length : 0;
    m->keep_alive = http_should_keep_alive(p) != 0;
    m->state = CW_MESSAGE_BODY;
    if (m->handlers->on_head) {
        m->handlers->on_head(m->owner);
    }
    return has_body(m) ? 0 : SKIP_BODY;
}

static int on_body(http_parser* p, const char* at, size_t size) {
    cw_message_t* m = p->data;
    if (m->handlers->on_body) {
        m->handlers->on_body(m->owner, at, size);
    }
    return 0;
}

static int on_chunk_size(http_parser* p) {
    cw_message_t* m = p->data;
    m->chunk_bytes = p->content_length;
    return 0;
}

static int on_complete(http_parser* p) {
    cw_message_t* m = p->data;
    m->state = CW_MESSAGE_COMPLETE;
    http_parser_pause(p, 1);
    return 0;
}

static const http_parser_settings callbacks = {.on_message_begin = on_begin,
                                               .on_url = on_url,
                                               .on_header_field = on_field_name,
                                               .on_header_value = on_field_value,
                                               .on_headers_complete = on_head_complete,
                                               .on_body = on_body,
                                               .on_chunk_header = on_chunk_size,
                                               .on_message_complete = on_complete};

void cw_message_setup(cw_message_t* m, cw_message_kind_t kind, const cw_message_handlers_t* handlers, void* owner) {
    memset(m, 0, sizeof(*m));
    m->handlers = handlers;
    m->owner = owner;
    http_parser_init(&m->parser, kind == CW_MESSAGE_REQUEST ? HTTP_REQUEST : HTTP_RESPONSE);
    m->parser.data = m;
}

void cw_message_shutdown(cw_message_t* m) {
    cw_buffer_free(&m->text);
}

void cw_message_reset(cw_message_t* m) {
    enum http_parser_type type = (enum http_parser_type)m->parser.type;
    http_parser_init(&m->parser, type);
    m->parser.data = m;
    cw_buffer_free(&m->text);
    m->state = CW_MESSAGE_IDLE;
    m->is_bodiless = false;
    m->field_count = 0;
    m->is_in_value = false;
    m->head_bytes = m->line_bytes = 0;
    m->previous_byte = 0;
    m->chunk_bytes = 0;
    m->is_chunk_received = false;
    m->status = 0;
    m->framing = CW_FRAMING_NONE;
}

/* -- parsing -------------------------------------------------------------- */

/* http-parser accepts status lines, line ends and ends of chunks that are none. Lines are therefore passed to it one by
   one, and are checked before. */

static bool is_in_head(const cw_message_t* m) {
    return m->state == CW_MESSAGE_IDLE || m->state == CW_MESSAGE_HEAD;
}

/* Whether the next byte belongs to a line of the head, or of the framing of chunks, and not to the body. */
static bool is_in_line(const cw_message_t* m) {
    return is_in_head(m) || (m->framing == CW_FRAMING_CHUNKED && !m->chunk_bytes);
}

static bool is_line_end(char byte) {
    return byte == '\r' || byte == '\n';
}

static bool is_digit(char byte) {
    return byte >= '0' && byte <= '9';
}

/* Whether a status line of HTTP/1 may have the byte at this offset: "HTTP/1.1 200 OK". */
static bool is_status_line_byte(size_t offset, char byte) {
    static const char pattern[] = "HTTP/1.# ### ";
    if (offset == sizeof("HTTP/1.1 ") - 1) {
        return byte >= '1' && byte <= '5';
    }
    if (offset == sizeof(pattern) - 2 && is_line_end(byte)) {
        return true; /* no reason phrase */
    }
    if (offset < sizeof(pattern) - 1) {
        return pattern[offset] == '#' ? is_digit(byte) : byte == pattern[offset];
    }
    return is_line_end(byte) || byte == '\t' || ((unsigned char)byte >= ' ' && byte != 0x7f);
}

/* The next byte of a line. */
static bool is_line_byte_valid(const cw_message_t* m, char byte) {
    if (m->previous_byte == '\r' && byte != '\n') {
        return false; /* RFC 9112, 2.2: a bare CR */
    }
    if (m->is_chunk_received) {
        return byte == "\r\n"[m->line_bytes];
    }
    if (m->state == CW_MESSAGE_BODY) {
        return byte != '\n' || m->previous_byte == '\r';
    }
    bool is_in_status_line = m->parser.type == HTTP_RESPONSE && m->head_bytes == m->line_bytes;
    return !is_in_status_line || is_status_line_byte(m->line_bytes, byte);
}

/* Empty lines before the start line are ignored (RFC 9112, 2.2). */
static bool is_before_start_line(const cw_message_t* m, char byte) {
    return m->state == CW_MESSAGE_IDLE && !m->head_bytes && is_line_end(byte);
}

static bool check_line(cw_message_t* m, const char* data, size_t size) {
    for (size_t i = 0; i < size; i++) {
        bool is_counted = !is_before_start_line(m, data[i]);
        if (is_counted && !is_line_byte_valid(m, data[i])) {
            return false;
        }
        m->head_bytes += is_counted && is_in_head(m);
        m->line_bytes += is_counted;
        m->previous_byte = data[i];
    }
    return true;
}

/* Size of the first part of the data that is to be parsed by itself: a line, or what is left of a chunk's data. */
static size_t find_part(const cw_message_t* m, const char* data, size_t size) {
    if (is_in_line(m)) {
        const char* end = memchr(data, '\n', size);
        return end ? (size_t)(end - data) + 1 : size;
    }
    return m->framing == CW_FRAMING_CHUNKED && m->chunk_bytes < size ? (size_t)m->chunk_bytes : size;
}

static size_t parse_part(cw_message_t* m, const char* data, size_t size) {
    bool is_line = is_in_line(m);
    bool is_chunk = !is_line && m->framing == CW_FRAMING_CHUNKED;
    if (is_line && !check_line(m, data, size)) {
        m->state = CW_MESSAGE_MALFORMED;
        return size;
    }
    if (is_line && data[size - 1] == '\n') {
        m->line_bytes = 0;
        m->previous_byte = 0;
        m->is_chunk_received = false;
    }
    if (is_chunk) {
        m->chunk_bytes -= size;
        m->is_chunk_received = m->chunk_bytes == 0;
    }
    size_t used = http_parser_execute(&m->parser, &callbacks, data, size);
    enum http_errno parse_error = HTTP_PARSER_ERRNO(&m->parser);
    if ((parse_error != HPE_OK && parse_error != HPE_PAUSED) || m->parser.upgrade) {
        m->state = CW_MESSAGE_MALFORMED;
    }
    return used;
}

size_t cw_message_parse(cw_message_t* m, const char* data, size_t size) {
    size_t used = 0;
    while (used < size && m->state != CW_MESSAGE_COMPLETE && m->state != CW_MESSAGE_MALFORMED) {
        used += parse_part(m, data + used, find_part(m, data + used, size - used));
    }
    return used;
}

void cw_message_on_close(cw_message_t* m) {
    if (m->state == CW_MESSAGE_BODY && m->framing == CW_FRAMING_UNTIL_CLOSE) {
        m->state = CW_MESSAGE_COMPLETE;
    }
}

const char* cw_framing_name(cw_framing_t framing) {
    static const char* const names[] = {"none", "length", "chunked", "close"};
    return names[framing];
}

const char* cw_message_field(const cw_message_t* m, const char* name) {
    for (uint32_t i = 0; i < m->field_count; i++) {
        if (strcasecmp(m->fields[i].name, name) == 0) {
            return m->fields[i].value;
        }
    }
    return NULL;
}

uint32_t cw_message_count_field(const cw_message_t* m, const char* name) {
    uint32_t count = 0;
    for (uint32_t i = 0; i < m->field_count; i++) {
        count += strcasecmp(m->fields[i].name, name) == 0;
    }
    return count;
}

static bool is_listed(const char* list, const char* name) {
    size_t size = strlen(name);
    while (*list) {
        list += strspn(list, " \t,");
        size_t word = strcspn(list, " \t,");
        if (word == size && strncasecmp(list, name, size) == 0) {
            return true;
        }
        list += word;
    }
    return false;
}

bool cw_message_is_hop_by_hop(const cw_message_t* m, const char* name) {
    static const char* const names[] = {"Connection",
                                        "Keep-Alive",
                                        "Proxy-Authenticate",
                                        "Proxy-Authorization",
                                        "Proxy-Connection",
                                        "TE",
                                        "Trailer",
                                        "Transfer-Encoding",
                                        "Upgrade",
                                        "Content-Length",
                                        "Expect"};
    for (size_t i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
        if (strcasecmp(names[i], name) == 0) {
            return true;
        }
    }
    for (uint32_t i = 0; i < m->field_count; i++) {
        if (strcasecmp(m->fields[i].name, "Connection") == 0 && is_listed(m->fields[i].value, name)) {
            return true;
        }
    }
    return false;
}

void cw_message_add_text(cw_buffer_t* out, const char* fmt, ...) {
    char text[FORMAT_MAX_BYTES];
    va_list args;
    va_start(args, fmt);
    int n = vsnprintf(text, sizeof(text), fmt, args);
    va_end(args);
    size_t size = n < 0 ? 0 : (size_t)n;
    cw_buffer_add(out, text, size < sizeof(text) ? size : sizeof(text) - 1);
}

void cw_message_add_field(cw_buffer_t* out, const char* name, const char* value) {
    cw_buffer_add(out, name, strlen(name));
    cw_buffer_add(out, ": ", 2);
    cw_buffer_add(out, value, strlen(value));
    cw_buffer_add(out, "\r\n", 2);
}

void cw_message_end_head(cw_buffer_t* out) {
    cw_buffer_add(out, "\r\n", 2);
}

void cw_message_add_chunk(cw_buffer_t* out, const void* data, size_t size) {
    if (size) {
        cw_message_add_text(out, "%zx\r\n", size);
        cw_buffer_add(out, data, size);
        cw_buffer_add(out, "\r\n", 2);
    }
}

void cw_message_add_last_chunk(cw_buffer_t* out) {
    cw_buffer_add(out, "0\r\n\r\n", 5);
}

const char* cw_message_reason_phrase(unsigned status) {
    switch (status) {
#define XX(number, name, string)                                                                                       \
    case number:                                                                                                       \
        return #string;
        HTTP_STATUS_MAP(XX)
#undef XX
        default:
            return "Unknown";
    }
}
