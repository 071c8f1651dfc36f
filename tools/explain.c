#include "explain.h"

#include <stdbool.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#define MAX_SERVERS 16
#define CONTEXT_WINDOW_MS 2000 /* before the first and after the last line of the request */
#define MS_PER_S 1000
#define VALUE_MAX 96

typedef struct line_t {
    int64_t at_ms;
    uint32_t read_order; /* order of reading; keeps lines of equal time in the order of their file */
    const char* file;
    bool is_context; /* a state change around the request, without its id */
    char* text;
} line_t;

typedef struct lines_t {
    line_t* items;
    uint32_t count, capacity;
    char servers[MAX_SERVERS][VALUE_MAX]; /* names of the servers that the request was sent to */
    uint32_t server_count;
    int64_t first_ms, last_ms;
} lines_t;

/* Timestamp of a line in ms since the Unix epoch (1970); -1 if the line has none. */
static int64_t parse_time_ms(const char* text) {
    const char* at = text[0] == '{' ? strstr(text, "\"time\":\"") : text;
    struct tm t = {0};
    int ms = 0;
    at = at && text[0] == '{' ? at + strlen("\"time\":\"") : at;
    if (!at || sscanf(at, "%d-%d-%dT%d:%d:%d.%dZ", &t.tm_year, &t.tm_mon, &t.tm_mday, &t.tm_hour, &t.tm_min, &t.tm_sec,
                      &ms) != 7) {
        return -1;
    }
    t.tm_year -= 1900;
    t.tm_mon -= 1;
    return (int64_t)timegm(&t) * MS_PER_S + ms;
}

/* Copies the value of a field of a text or JSON line; false if the line lacks the field or the value does not fit. */
static bool read_field(const char* text, const char* name, char* out, size_t size) {
    char key[VALUE_MAX];
    bool is_json = text[0] == '{';
    snprintf(key, sizeof(key), is_json ? "\"%s\":\"" : " %s=", name);
    const char* at = strstr(text, key);
    if (!at) {
        return false;
    }
    at += strlen(key);
    bool is_quoted = is_json || *at == '"';
    at += !is_json && is_quoted;
    size_t length = strcspn(at, is_quoted ? "\"" : " \n");
    if (length >= size) {
        return false;
    }
    memcpy(out, at, length);
    out[length] = 0;
    return true;
}

static bool has_server(const lines_t* l, const char* server) {
    for (uint32_t i = 0; i < l->server_count; i++) {
        if (strcmp(l->servers[i], server) == 0) {
            return true;
        }
    }
    return false;
}

static void add_line(lines_t* l, const char* file, const char* text, int64_t at_ms, bool is_context) {
    if (l->count == l->capacity) {
        l->capacity = l->capacity ? 2 * l->capacity : 64;
        l->items = realloc(l->items, l->capacity * sizeof(*l->items));
        if (!l->items) {
            abort();
        }
    }
    l->items[l->count] =
        (line_t){.at_ms = at_ms, .read_order = l->count, .file = file, .is_context = is_context, .text = strdup(text)};
    l->count++;
}

/* Adds a line that carries the request's id; records its server and extends the time span of the request. */
static void add_request_line(lines_t* l, const char* file, const char* text, int64_t at_ms) {
    char server[VALUE_MAX];
    if (read_field(text, "server", server, sizeof(server)) && strcmp(server, "-") != 0 && !has_server(l, server) &&
        l->server_count < MAX_SERVERS) {
        snprintf(l->servers[l->server_count++], VALUE_MAX, "%s", server);
    }
    l->first_ms = !l->count || at_ms < l->first_ms ? at_ms : l->first_ms;
    l->last_ms = !l->count || at_ms > l->last_ms ? at_ms : l->last_ms;
    add_line(l, file, text, at_ms, false);
}

/* Whether the file has lines of the request, that is, whether its daemon handled the request. */
static bool has_request_lines(const lines_t* l, const char* file) {
    for (uint32_t i = 0; i < l->count; i++) {
        if (!l->items[i].is_context && l->items[i].file == file) {
            return true;
        }
    }
    return false;
}

/* Whether a line reports a state change that may explain the request: of a server that the request was sent to, as seen
   by any daemon, or of a daemon that handled the request. */
static bool is_context_line(const lines_t* l, const char* file, const char* text, int64_t at_ms) {
    char value[VALUE_MAX];
    if (at_ms < l->first_ms - CONTEXT_WINDOW_MS || at_ms > l->last_ms + CONTEXT_WINDOW_MS ||
        read_field(text, "id", value, sizeof(value))) {
        return false;
    }
    if (read_field(text, "server", value, sizeof(value))) {
        return has_server(l, value);
    }
    static const char* const context_events[] = {
        "source-lost", "source-back", "servers-changed", "config-changed", "stopping", "started", "woke", "lines-lost"};
    for (size_t i = 0; i < sizeof(context_events) / sizeof(context_events[0]); i++) {
        if (strstr(text, context_events[i])) {
            return has_request_lines(l, file);
        }
    }
    return false;
}

/* One pass over a file: collects the lines of the request or, once those of all files are known, the context lines. */
static bool read_file(lines_t* l, const char* id, const char* path, bool is_context) {
    FILE* file = fopen(path, "r");
    char* text = NULL;
    size_t size = 0;
    if (!file) {
        return false;
    }
    while (getline(&text, &size, file) > 0) {
        char line_id[VALUE_MAX];
        int64_t at_ms = parse_time_ms(text);
        if (at_ms < 0) {
            continue;
        }
        if (!is_context && read_field(text, "id", line_id, sizeof(line_id)) && strcmp(line_id, id) == 0) {
            add_request_line(l, path, text, at_ms);
        } else if (is_context && is_context_line(l, path, text, at_ms)) {
            add_line(l, path, text, at_ms, true);
        }
    }
    free(text);
    fclose(file);
    return true;
}

static int compare_by_time(const void* a, const void* b) {
    const line_t* x = a;
    const line_t* y = b;
    if (x->at_ms != y->at_ms) {
        return x->at_ms < y->at_ms ? -1 : 1;
    }
    return x->read_order < y->read_order ? -1 : 1;
}

int explain_request(const char* id, char* const* files, int count, FILE* out) {
    lines_t l = {0};
    bool all_readable = true;
    for (int i = 0; i < count; i++) {
        all_readable = read_file(&l, id, files[i], false) && all_readable;
    }
    int request_lines = (int)l.count;
    for (int i = 0; i < count && request_lines; i++) {
        read_file(&l, id, files[i], true);
    }
    if (l.count) {
        qsort(l.items, l.count, sizeof(*l.items), compare_by_time);
    }
    for (uint32_t i = 0; i < l.count; i++) {
        fprintf(out, "%s%s: %s", l.items[i].is_context ? "~ " : "", l.items[i].file, l.items[i].text);
        free(l.items[i].text);
    }
    free(l.items);
    return all_readable ? request_lines : -1;
}
