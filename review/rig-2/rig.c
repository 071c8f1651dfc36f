#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/random.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define HEARTBEAT_MS 1200
#define LONGEST_RUN_S 115
#define QUEUE 24
#define STACK_BYTES ((size_t)256 * 1024)

rig_gateway_t rig_gateways[RIG_GATEWAYS];
uint32_t rig_gateway_count;
rig_server_t rig_servers[RIG_SERVERS];
uint32_t rig_server_count;
bool rig_trouble;
size_t rig_numbers[RIG_NUMBERS];

static char folder_path[256], work_path[64];
static FILE* record_file;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static double began_ms;
static unsigned net_a, net_b;
static int base_port;
static pid_t main_pid;

enum { PORT_FRONT, PORT_READY, PORT_LOOKUP, PORT_PEER, PORT_LOAD, PORT_CONTROL, PORT_STORE, PORT_SERVER, PORT_COUNT };

/* -- basics ---------------------------------------------------------------- */

static double clock_ms(void) {
    struct timespec t;
    clock_gettime(CLOCK_MONOTONIC, &t);
    return (double)t.tv_sec * 1000 + (double)t.tv_nsec / 1e6;
}

double rig_now_ms(void) {
    return clock_ms() - began_ms;
}

void rig_sleep_ms(double ms) {
    struct timespec t = {.tv_sec = (time_t)(ms / 1000), .tv_nsec = (long)((ms - 1000.0 * (time_t)(ms / 1000)) * 1e6)};
    while (ms > 0 && nanosleep(&t, &t) != 0 && errno == EINTR) {
    }
}

uint32_t rig_random(uint32_t below) {
    uint32_t value = 0;
    if (getrandom(&value, sizeof(value), 0) < 0) {
        value = (uint32_t)clock_ms();
    }
    return value % below;
}

static void write_record(const char* format, va_list args) {
    pthread_mutex_lock(&record_lock);
    if (record_file) {
        fprintf(record_file, "%9.1f ", rig_now_ms());
        vfprintf(record_file, format, args);
        fputc('\n', record_file);
    }
    pthread_mutex_unlock(&record_lock);
}

void rig_record(const char* format, ...) {
    va_list args;
    va_start(args, format);
    write_record(format, args);
    va_end(args);
}

void rig_report(const char* format, ...) {
    va_list args;
    va_start(args, format);
    write_record(format, args);
    va_end(args);
    va_start(args, format);
    vprintf(format, args);
    putchar('\n');
    fflush(stdout);
    va_end(args);
}

static void end_gateways(void) {
    for (uint32_t i = 0; i < rig_gateway_count; i++) {
        rig_gateway_kill(&rig_gateways[i]);
    }
}

int rig_finish(int status) {
    end_gateways();
    for (uint32_t i = 0; i < rig_gateway_count && !getenv("RIG_KEEP"); i++) {
        char path[160];
        snprintf(path, sizeof(path), "%s/%s.ini", work_path, rig_gateways[i].name);
        unlink(path);
        snprintf(path, sizeof(path), "%s/%s.log", work_path, rig_gateways[i].name);
        unlink(path);
    }
    rmdir(work_path);
    rig_record("status %d", status);
    pthread_mutex_lock(&record_lock);
    fclose(record_file);
    record_file = NULL;
    pthread_mutex_unlock(&record_lock);
    _exit(status);
}

void rig_fail(const char* why) {
    rig_report("the case couldn't run: %s", why);
    rig_finish(2);
}

static void on_alarm(int number) {
    (void)number;
    for (uint32_t i = 0; i < rig_gateway_count; i++) {
        if (rig_gateways[i].pid > 0) {
            kill(rig_gateways[i].pid, SIGKILL);
        }
    }
    _exit(2);
}

void rig_thread(void* (*run)(void*), void* arg) {
    pthread_t thread;
    pthread_attr_t attr;
    pthread_attr_init(&attr);
    pthread_attr_setstacksize(&attr, STACK_BYTES);
    pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
    if (pthread_create(&thread, &attr, run, arg) != 0) {
        rig_fail("no thread");
    }
    pthread_attr_destroy(&attr);
}

static void host_ip(char* out, size_t size, unsigned host) {
    snprintf(out, size, "127.%u.%u.%u", net_a, net_b, host);
}

static int listen_at(const char* ip, int port) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int yes = 1;
    struct sockaddr_in at = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    inet_pton(AF_INET, ip, &at.sin_addr);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    if (bind(fd, (struct sockaddr*)&at, sizeof(at)) != 0 || listen(fd, 256) != 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static void choose_addresses(void) {
    for (int draw = 0; draw < 50; draw++) {
        net_a = 10 + rig_random(200);
        net_b = 1 + rig_random(250);
        base_port = 21000 + (int)rig_random(9000);
        bool is_free = true;
        for (int i = 0; i < PORT_COUNT && is_free; i++) {
            char ip[32];
            host_ip(ip, sizeof(ip), 10);
            int fd = listen_at(ip, base_port + i);
            is_free = fd >= 0;
            if (fd >= 0) {
                close(fd);
            }
        }
        if (is_free) {
            return;
        }
    }
    rig_fail("no free ports");
}

void rig_init(const char* folder, uint32_t gateways) {
    const char* trouble = getenv("TROUBLE");
    char path[300];
    rig_trouble = !trouble || strcmp(trouble, "0") != 0;
    main_pid = getpid();
    began_ms = clock_ms();
    for (size_t i = 0; i < RIG_NUMBERS; i++) {
        rig_numbers[i] = i;
    }
    snprintf(folder_path, sizeof(folder_path), "%s", folder);
    snprintf(path, sizeof(path), "%s/record.txt", folder);
    record_file = fopen(path, "w");
    if (!record_file) {
        fprintf(stderr, "no record\n");
        _exit(2);
    }
    signal(SIGPIPE, SIG_IGN);
    signal(SIGALRM, on_alarm);
    signal(SIGTERM, on_alarm);
    signal(SIGINT, on_alarm);
    alarm(LONGEST_RUN_S);
    snprintf(work_path, sizeof(work_path), "/tmp/chalkway-case-XXXXXX");
    if (!mkdtemp(work_path)) {
        rig_fail("no temporary folder");
    }
    choose_addresses();
    rig_gateway_count = gateways;
    for (uint32_t i = 0; i < gateways; i++) {
        rig_gateway_t* g = &rig_gateways[i];
        snprintf(g->name, sizeof(g->name), "edge-%u", i + 1);
        snprintf(g->zone, sizeof(g->zone), "z%u", i % 2 + 1);
        host_ip(g->ip, sizeof(g->ip), 10 + i);
    }
    rig_record("trouble %d", rig_trouble);
}

/* -- connections ----------------------------------------------------------- */

bool rig_write(int fd, const void* data, size_t size) {
    const char* at = data;
    while (size) {
        ssize_t n = send(fd, at, size, MSG_NOSIGNAL);
        if (n <= 0) {
            return false;
        }
        at += n;
        size -= (size_t)n;
    }
    return true;
}

/* Reads more; until: time by which something must come, 0: whenever. */
static bool fill(rig_conn_t* c, double until_ms) {
    if (c->begin == c->end) {
        c->begin = c->end = 0;
    } else if (c->end == sizeof(c->data)) {
        memmove(c->data, c->data + c->begin, c->end - c->begin);
        c->end -= c->begin;
        c->begin = 0;
    }
    if (until_ms > 0) {
        double left = until_ms - rig_now_ms();
        struct pollfd p = {.fd = c->fd, .events = POLLIN};
        if (left <= 0 || poll(&p, 1, (int)left + 1) <= 0) {
            errno = ETIMEDOUT;
            return false;
        }
    }
    ssize_t n = recv(c->fd, c->data + c->end, sizeof(c->data) - c->end, 0);
    if (n <= 0) {
        errno = n == 0 ? 0 : errno;
        return false;
    }
    c->end += (size_t)n;
    return true;
}

static bool read_line(rig_conn_t* c, char* out, size_t size, double until_ms) {
    size_t n = 0;
    for (;;) {
        while (c->begin < c->end) {
            char byte = c->data[c->begin++];
            if (byte == '\n') {
                out[n && out[n - 1] == '\r' ? n - 1 : n] = 0;
                return true;
            }
            if (n < size - 1) {
                out[n++] = byte;
            }
        }
        if (!fill(c, until_ms)) {
            return false;
        }
    }
}

static bool skip_bytes(rig_conn_t* c, size_t size) {
    while (size) {
        if (c->begin == c->end && !fill(c, 0)) {
            return false;
        }
        size_t n = c->end - c->begin < size ? c->end - c->begin : size;
        c->begin += n;
        size -= n;
    }
    return true;
}

const char* rig_header(const rig_request_t* r, const char* name) {
    for (uint32_t i = 0; i < r->header_count; i++) {
        if (strcasecmp(r->headers[i].name, name) == 0) {
            return r->headers[i].value;
        }
    }
    return NULL;
}

static bool read_request(rig_conn_t* c, rig_request_t* r) {
    char line[1024];
    r->header_count = 0;
    r->body_size = 0;
    if (!read_line(c, line, sizeof(line), 0) || sscanf(line, "%15s %255s", r->method, r->path) != 2) {
        return false;
    }
    while (read_line(c, line, sizeof(line), 0)) {
        char* colon = strchr(line, ':');
        if (!line[0]) {
            const char* length = rig_header(r, "Content-Length");
            r->body_size = length ? strtoul(length, NULL, 10) : 0;
            return skip_bytes(c, r->body_size);
        }
        if (colon && r->header_count < RIG_HEADERS) {
            *colon = 0;
            snprintf(r->headers[r->header_count].name, 64, "%.63s", line);
            snprintf(r->headers[r->header_count].value, 512, "%.511s", colon + 1 + strspn(colon + 1, " "));
            r->header_count++;
        }
    }
    return false;
}

/* -- the store ------------------------------------------------------------- */

#define ITEMS_MAX 128
#define CHANGES_MAX 65536

typedef struct item_t {
    char key[64];
    char* value;
    int64_t revision, made;
} item_t;

typedef struct content_t {
    item_t items[ITEMS_MAX];
    uint32_t count;
    int64_t revision;
    struct {
        char key[64];
        int64_t revision;
    }* changes;
    uint32_t change_count;
} content_t;

static content_t store, store_copy;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static bool store_is_busy;
static int64_t store_era;
static char store_ip[32];

static item_t* store_find(const char* key) {
    for (uint32_t i = 0; i < store.count; i++) {
        if (strcmp(store.items[i].key, key) == 0) {
            return &store.items[i];
        }
    }
    return NULL;
}

static void store_note(const char* key) {
    if (store.change_count < CHANGES_MAX) {
        snprintf(store.changes[store.change_count].key, 64, "%s", key);
        store.changes[store.change_count++].revision = store.revision;
    }
}

void rig_store_put(const char* key, const char* value) {
    pthread_mutex_lock(&store_lock);
    item_t* item = store_find(key);
    store.revision++;
    if (!item) {
        item = &store.items[store.count++];
        *item = (item_t){.made = store.revision};
        snprintf(item->key, sizeof(item->key), "%s", key);
    }
    free(item->value);
    item->value = strdup(value);
    item->revision = store.revision;
    store_note(key);
    pthread_mutex_unlock(&store_lock);
    if (strncmp(key, "servers/", 8) != 0 || !strstr(value, "\"quiet\"")) {
        rig_record("store: %s at revision %lld", key, (long long)rig_store_revision());
    }
}

void rig_store_remove(const char* key) {
    pthread_mutex_lock(&store_lock);
    item_t* item = store_find(key);
    if (item) {
        store.revision++;
        free(item->value);
        *item = store.items[--store.count];
        store_note(key);
    }
    pthread_mutex_unlock(&store_lock);
    rig_record("store: %s removed at revision %lld", key, (long long)rig_store_revision());
}

int64_t rig_store_revision(void) {
    pthread_mutex_lock(&store_lock);
    int64_t revision = store.revision;
    pthread_mutex_unlock(&store_lock);
    return revision;
}

void rig_store_set_busy(bool is_busy) {
    pthread_mutex_lock(&store_lock);
    store_is_busy = is_busy;
    pthread_mutex_unlock(&store_lock);
    rig_record("store: %s", is_busy ? "away (503)" : "back");
}

void rig_store_copy(void) {
    pthread_mutex_lock(&store_lock);
    store_copy.count = store.count;
    store_copy.revision = store.revision;
    store_copy.change_count = store.change_count;
    for (uint32_t i = 0; i < store.count; i++) {
        store_copy.items[i] = store.items[i];
        store_copy.items[i].value = strdup(store.items[i].value);
    }
    pthread_mutex_unlock(&store_lock);
    rig_record("store: a copy is taken at revision %lld", (long long)store_copy.revision);
}

void rig_store_restore(void) {
    pthread_mutex_lock(&store_lock);
    int64_t was = store.revision;
    store.count = store_copy.count;
    store.revision = store_copy.revision;
    store.change_count = store_copy.change_count;
    for (uint32_t i = 0; i < store.count; i++) {
        store.items[i] = store_copy.items[i];
        store.items[i].value = strdup(store_copy.items[i].value);
    }
    store_era++;
    pthread_mutex_unlock(&store_lock);
    rig_record("store: restored from the copy, revision %lld, was %lld, era %lld", (long long)store_copy.revision,
               (long long)was, (long long)store_era);
}

static void add(char** out, size_t* size, const char* format, ...) {
    va_list args;
    va_start(args, format);
    char* text = NULL;
    int n = vasprintf(&text, format, args);
    va_end(args);
    *out = realloc(*out, *size + (size_t)n + 1);
    memcpy(*out + *size, text, (size_t)n);
    *size += (size_t)n;
    (*out)[*size] = 0;
    free(text);
}

static char* base64(const char* text) {
    static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    size_t size = strlen(text);
    char* out = calloc(1, (size + 2) / 3 * 4 + 1);
    char* at = out;
    for (size_t i = 0; i < size; i += 3) {
        uint32_t v = (uint32_t)(uint8_t)text[i] << 16 | (i + 1 < size ? (uint32_t)(uint8_t)text[i + 1] << 8 : 0) |
                     (i + 2 < size ? (uint32_t)(uint8_t)text[i + 2] : 0);
        *at++ = digits[v >> 18];
        *at++ = digits[v >> 12 & 63];
        *at++ = i + 1 < size ? digits[v >> 6 & 63] : '=';
        *at++ = i + 2 < size ? digits[v & 63] : '=';
    }
    return out;
}

static void add_item(char** out, size_t* size, const item_t* item, const char* tail) {
    char* value = base64(item->value);
    add(out, size, "{\"tls_key\":\"%s\",\"value\":\"%s\",\"revision\":%lld,\"made\":%lld,\"lease\":0%s}", item->key, value,
        (long long)item->revision, (long long)item->made, tail);
    free(value);
}

static int compare_items(const void* a, const void* b) {
    return strcmp(((const item_t*)a)->key, ((const item_t*)b)->key);
}

static int store_answer(const char* path, char** out, size_t* size) {
    char tail[48];
    if (store_is_busy) {
        add(out, size, "{}");
        return 503;
    }
    if (strncmp(path, "/kv-key?tls_key=", 16) == 0) {
        const item_t* item = store_find(path + 16);
        snprintf(tail, sizeof(tail), ",\"at\":%lld", (long long)store.revision);
        if (!item) {
            add(out, size, "{}");
            return 404;
        }
        add_item(out, size, item, tail);
        return 200;
    }
    const char* prefix_at = strstr(path, "path_prefix=");
    const char* after_at = strstr(path, "after=");
    char prefix[64] = "";
    char after[64] = "";
    if (prefix_at) {
        sscanf(prefix_at + 12, "%63[^&]", prefix);
    }
    if (after_at) {
        sscanf(after_at + 6, "%63[^&]", after);
    }
    if (strncmp(path, "/kv-range?", 10) == 0) {
        qsort(store.items, store.count, sizeof(item_t), compare_items);
        add(out, size, "{\"items\":[");
        bool is_first = true;
        for (uint32_t i = 0; i < store.count; i++) {
            if (strncmp(store.items[i].key, prefix, strlen(prefix)) == 0 && strcmp(store.items[i].key, after) > 0) {
                add(out, size, is_first ? "" : ",");
                add_item(out, size, &store.items[i], "");
                is_first = false;
            }
        }
        add(out, size, "],\"more\":false,\"at\":%lld}", (long long)store.revision);
        return 200;
    }
    if (strncmp(path, "/kv-watch?", 10) == 0) {
        int64_t from = strtoll(after, NULL, 10);
        if (from > store.revision) {
            add(out, size, "{}");
            return 410;
        }
        add(out, size, "{\"events\":[");
        bool is_first = true;
        for (uint32_t i = 0; i < store.change_count; i++) {
            const char* key = store.changes[i].key;
            bool is_last = true;
            for (uint32_t k = i + 1; k < store.change_count && is_last; k++) {
                is_last = strcmp(store.changes[k].key, key) != 0;
            }
            if (store.changes[i].revision <= from || !is_last || strncmp(key, prefix, strlen(prefix)) != 0) {
                continue;
            }
            const item_t* item = store_find(key);
            add(out, size, is_first ? "" : ",");
            is_first = false;
            if (item) {
                add_item(out, size, item, "");
            } else {
                add(out, size, "{\"tls_key\":\"%s\",\"revision\":%lld,\"gone\":true}", key,
                    (long long)store.changes[i].revision);
            }
        }
        add(out, size, "],\"at\":%lld}", (long long)store.revision);
        return 200;
    }
    add(out, size, "{}");
    return 404;
}

static void* store_serve(void* arg) {
    rig_conn_t* c = calloc(1, sizeof(*c));
    rig_request_t* r = calloc(1, sizeof(*r));
    c->fd = *(int*)arg;
    free(arg);
    while (read_request(c, r)) {
        char* body = NULL;
        size_t size = 0;
        char head[256];
        char era[48] = "";
        pthread_mutex_lock(&store_lock);
        int status = store_answer(r->path, &body, &size);
        if (store_era) {
            snprintf(era, sizeof(era), "Store-Era: %lld\r\n", (long long)store_era);
        }
        pthread_mutex_unlock(&store_lock);
        int n = snprintf(head, sizeof(head), "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n%sContent-Length: %zu\r\n\r\n",
                         status, era, size);
        rig_sleep_ms(4);
        bool ok = rig_write(c->fd, head, (size_t)n) && rig_write(c->fd, body, size);
        free(body);
        if (!ok) {
            break;
        }
    }
    close(c->fd);
    free(c);
    free(r);
    return NULL;
}

static void* store_accept(void* arg) {
    int listen_fd = *(const int*)arg;
    for (;;) {
        int fd = accept4(listen_fd, NULL, NULL, SOCK_CLOEXEC);
        if (fd >= 0) {
            int* accepted = malloc(sizeof(*accepted));
            *accepted = fd;
            rig_thread(store_serve, accepted);
        }
    }
    return NULL;
}

void rig_store_start(int64_t era) {
    host_ip(store_ip, sizeof(store_ip), 2);
    store_era = era;
    store.revision = 100;
    store.changes = calloc(CHANGES_MAX, sizeof(*store.changes));
    static int fd;
    fd = listen_at(store_ip, base_port + PORT_STORE);
    if (fd < 0) {
        rig_fail("no port for the store");
    }
    rig_thread(store_accept, &fd);
}

void rig_config(int version) {
    char* text = NULL;
    size_t size = 0;
    static const char route[] =
        "{\"name\":\"%s\",\"host\":\"h.example\",\"path_prefix\":\"%s\",\"kind\":\"%s\",\"timeout_ms\":%d,"
        "\"target_latency_ms\":%d,\"priority\":0,\"service\":\"%s\",\"max_attempts\":2,\"auth_exempt\":false%s}";
    add(&text, &size, "{\"version\":%d,\"routes\":[", version);
    add(&text, &size, route, "r-s", "/s/", "streaming", 12000, 250, "llm",
        ",\"sticky_sessions\":true,\"stream_resume\":true,\"target_gap_ms\":150");
    add(&text, &size, ",");
    add(&text, &size, route, "r-o", "/o/", "non_idempotent", 4000, 300, "app", "");
    add(&text, &size, ",");
    add(&text, &size, route, "r-i", "/i/", "idempotent", 4000, 300, "app", "");
    add(&text, &size,
        "],\"services\":[{\"name\":\"llm\",\"health_path\":\"/health\",\"max_connections\":310,\"protocol\":\"h1\","
        "\"tls\":false,\"engine\":{\"slots\":48,\"kv_capacity\":532839,\"kv_token_bytes\":163840,\"link_mbps\":260000.0,"
        "\"moves\":true,\"backups\":true,\"stride\":6,\"most\":12,\"models\":[{\"name\":\"m\"}]}},"
        "{\"name\":\"app\",\"health_path\":\"/health\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}],"
        "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
        "\"idle_timeout_ms\":15000},\"tenants\":[{\"name\":\"t1\",\"api_keys\":[\"key1\"],\"priority\":1}]}");
    rig_store_put("op/config", text);
    free(text);
}

/* -- runs ------------------------------------------------------------------ */

#define RUNS_MAX 65536
static char run_ids[RUNS_MAX][24];
static uint32_t run_count;
static pthread_mutex_t run_lock = PTHREAD_MUTEX_INITIALIZER;

static void note_run(const rig_server_t* s, const char* id, const rig_request_t* r) {
    const char* last = rig_header(r, "Last-Event-Id");
    pthread_mutex_lock(&run_lock);
    if (run_count < RUNS_MAX) {
        snprintf(run_ids[run_count++], 24, "%.23s", id);
    }
    pthread_mutex_unlock(&run_lock);
    rig_record("run %s at %s version %s start %u%s%s", id, s->id, s->version, s->generation, last ? " after event " : "",
               last ? last : "");
}

uint32_t rig_runs(const char* id) {
    uint32_t count = 0;
    pthread_mutex_lock(&run_lock);
    for (uint32_t i = 0; i < run_count; i++) {
        count += strcmp(run_ids[i], id) == 0;
    }
    pthread_mutex_unlock(&run_lock);
    return count;
}

/* -- servers --------------------------------------------------------------- */

bool rig_serve_soundly(rig_server_t* s, rig_conn_t* c, const rig_request_t* r, const char* id) {
    char head[512];
    char event[128];
    char text[160];
    rig_sleep_ms(s->work_ms);
    if (!s->is_stream) {
        char body[800];
        memset(body, '.', sizeof(body));
        snprintf(body, sizeof(body), "%s", id);
        body[strlen(id)] = '.';
        int n = snprintf(head, sizeof(head),
                         "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s.%s\r\nKeep-Alive: timeout=15\r\n"
                         "Content-Length: %zu\r\n\r\n",
                         id, s->id, id, sizeof(body));
        return rig_write(c->fd, head, (size_t)n) && rig_write(c->fd, body, sizeof(body));
    }
    const char* last = rig_header(r, "Last-Event-Id");
    int n = snprintf(head, sizeof(head),
                     "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s.%s\r\n"
                     "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
                     id, s->id, id);
    if (!rig_write(c->fd, head, (size_t)n)) {
        return false;
    }
    for (int k = (last ? atoi(last) : 0) + 1; k <= s->events; k++) {
        int size = snprintf(event, sizeof(event), "id: %d\ndata: %s %s\n\n", k, s->id, s->version);
        n = snprintf(text, sizeof(text), "%x\r\n%s\r\n", (unsigned)size, event);
        if (!rig_write(c->fd, text, (size_t)n)) {
            return false;
        }
        rig_sleep_ms(s->gap_ms);
    }
    return rig_write(c->fd, "0\r\n\r\n", 5);
}

/* Returns whether the connection is kept. */
static bool server_handle(rig_server_t* s, rig_conn_t* c, const rig_request_t* r) {
    char text[512];
    const char* given = rig_header(r, "Attempt-Id");
    const char* expected = rig_header(r, "Expect-Instance");
    char id[32];
    int n = 0;
    if (strcmp(r->path, "/health") == 0) {
        n = snprintf(text, sizeof(text), "HTTP/1.1 %d X\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n",
                     strcmp(s->state, "ready") == 0 ? 200 : 503, s->id);
        return rig_write(c->fd, text, (size_t)n);
    }
    if (strncmp(r->path, "/kv-list", 8) == 0) {
        char born[48] = "";
        char body[128];
        if (s->born) {
            snprintf(born, sizeof(born), ",\"born\":%lld", (long long)s->born);
        }
        int size = snprintf(body, sizeof(body), "{\"epoch\":\"e%u\",\"next_token\":0,\"held\":[]%s}", s->generation, born);
        n = snprintf(text, sizeof(text), "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
                     size, body);
        return rig_write(c->fd, text, (size_t)n);
    }
    if (!given) {
        n = snprintf(text, sizeof(text), "HTTP/1.1 400 X\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        return rig_write(c->fd, text, (size_t)n);
    }
    snprintf(id, sizeof(id), "%.31s", given);
    rig_record("arrives %s at %s", id, s->id);
    if (expected && strcmp(expected, s->id) != 0) {
        n = snprintf(text, sizeof(text), "HTTP/1.1 421 X\r\nAttempt-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id,
                     s->id);
        return rig_write(c->fd, text, (size_t)n);
    }
    pthread_mutex_lock(&s->lock);
    bool has_room = s->running < s->slots + QUEUE;
    s->running += has_room;
    pthread_mutex_unlock(&s->lock);
    if (!has_room) {
        n = snprintf(text, sizeof(text), "HTTP/1.1 503 X\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", id);
        return rig_write(c->fd, text, (size_t)n);
    }
    note_run(s, id, r);
    bool is_kept = s->serve ? s->serve(s, c, r, id) : rig_serve_soundly(s, c, r, id);
    pthread_mutex_lock(&s->lock);
    s->running--;
    pthread_mutex_unlock(&s->lock);
    return is_kept;
}

typedef struct accepted_t {
    rig_server_t* s;
    int fd;
    uint32_t generation;
} accepted_t;

static void* server_serve(void* arg) {
    accepted_t a = *(accepted_t*)arg;
    rig_conn_t* c = calloc(1, sizeof(*c));
    rig_request_t* r = calloc(1, sizeof(*r));
    free(arg);
    c->fd = a.fd;
    while (a.s->is_alive && a.s->generation == a.generation && read_request(c, r) && server_handle(a.s, c, r)) {
    }
    pthread_mutex_lock(&a.s->lock);
    for (int i = 0; i < a.s->fd_count; i++) {
        if (a.s->fds[i] == a.fd) {
            a.s->fds[i] = a.s->fds[--a.s->fd_count];
            break;
        }
    }
    close(a.fd);
    pthread_mutex_unlock(&a.s->lock);
    free(c);
    free(r);
    return NULL;
}

static void* server_accept(void* arg) {
    rig_server_t* s = arg;
    uint32_t generation = s->generation;
    int listen_fd = s->listen_fd;
    while (s->is_alive && s->generation == generation) {
        struct pollfd p = {.fd = listen_fd, .events = POLLIN};
        if (poll(&p, 1, 50) <= 0) {
            continue;
        }
        int fd = accept4(listen_fd, NULL, NULL, SOCK_CLOEXEC);
        int yes = 1;
        if (fd < 0) {
            continue;
        }
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
        accepted_t* a = calloc(1, sizeof(*a));
        *a = (accepted_t){.s = s, .fd = fd, .generation = generation};
        pthread_mutex_lock(&s->lock);
        bool is_kept = s->is_alive && s->fd_count < 1024;
        if (is_kept) {
            s->fds[s->fd_count++] = fd;
        }
        pthread_mutex_unlock(&s->lock);
        if (is_kept) {
            rig_thread(server_serve, a);
        } else {
            close(fd);
            free(a);
        }
    }
    return NULL;
}

void rig_server_write(rig_server_t* s) {
    char key[64];
    char value[512];
    char born[48] = "";
    pthread_mutex_lock(&store_lock);
    bool is_busy = store_is_busy;
    pthread_mutex_unlock(&store_lock);
    if (is_busy || s->is_withdrawn) {
        return;
    }
    if (s->born) {
        snprintf(born, sizeof(born), ",\"born\":%lld", (long long)s->born);
    }
    snprintf(key, sizeof(key), "servers/%s", s->id);
    snprintf(value, sizeof(value),
             "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"z1\",\"version\":\"%s\",\"slots\":%d,\"state\":\"%s\","
             "\"cold_remaining_ms\":0,\"stage\":\"colocated\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],"
             "\"seq\":%u%s}",
             s->service, s->ip, s->port, s->version, s->slots, s->state, s->seq, born);
    rig_store_put(key, value);
}

static void* server_beat(void* arg) {
    rig_server_t* s = arg;
    uint32_t generation = s->generation;
    for (;;) {
        rig_sleep_ms(HEARTBEAT_MS);
        if (!s->is_alive || s->generation != generation) {
            return NULL;
        }
        s->seq++;
        rig_server_write(s);
    }
}

static int64_t unix_ms(void) {
    struct timespec t;
    clock_gettime(CLOCK_REALTIME, &t);
    return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

rig_server_t* rig_server(const char* service, bool is_stream, int slots, const char* version, bool has_born) {
    rig_server_t* s = &rig_servers[rig_server_count++];
    memset(s, 0, sizeof(*s));
    snprintf(s->service, sizeof(s->service), "%s", service);
    snprintf(s->id, sizeof(s->id), "i-%02x%06x", rig_server_count, rig_random(1U << 24));
    snprintf(s->version, sizeof(s->version), "%s", version);
    snprintf(s->state, sizeof(s->state), "ready");
    host_ip(s->ip, sizeof(s->ip), 50 + rig_server_count);
    s->port = base_port + PORT_SERVER;
    s->slots = slots;
    s->born = has_born;
    s->is_stream = is_stream;
    s->work_ms = is_stream ? 20 : 60;
    s->gap_ms = 60;
    s->events = 40;
    pthread_mutex_init(&s->lock, NULL);
    return s;
}

void rig_server_start(rig_server_t* s) {
    s->listen_fd = listen_at(s->ip, s->port);
    if (s->listen_fd < 0) {
        rig_fail("no port for a server");
    }
    s->born = s->born ? unix_ms() : 0;
    s->seq = 0;
    s->running = 0;
    snprintf(s->state, sizeof(s->state), "ready");
    s->is_alive = true;
    rig_record("server %s of %s starts, version %s, start %u", s->id, s->service, s->version, s->generation);
    rig_thread(server_accept, s);
    rig_server_write(s);
    rig_thread(server_beat, s);
}

void rig_server_crash(rig_server_t* s) {
    rig_record("server %s crashes", s->id);
    pthread_mutex_lock(&s->lock);
    s->is_alive = false;
    s->generation++;
    close(s->listen_fd);
    for (int i = 0; i < s->fd_count; i++) {
        shutdown(s->fds[i], SHUT_RDWR);
    }
    pthread_mutex_unlock(&s->lock);
}

void rig_server_withdraw(rig_server_t* s) {
    char key[64];
    s->is_withdrawn = true;
    snprintf(key, sizeof(key), "servers/%s", s->id);
    rig_store_remove(key);
}

void rig_server_restart(rig_server_t* s, const char* version) {
    snprintf(s->version, sizeof(s->version), "%s", version);
    rig_server_start(s);
}

/* -- gateways -------------------------------------------------------------- */

void rig_gateway_start(rig_gateway_t* g) {
    char ini[160];
    char log[160];
    char seeds[160] = "";
    snprintf(ini, sizeof(ini), "%s/%s.ini", work_path, g->name);
    snprintf(log, sizeof(log), "%s/%s.log", work_path, g->name);
    for (uint32_t i = 0; i < 3 && i < rig_gateway_count; i++) {
        size_t at = strlen(seeds);
        snprintf(seeds + at, sizeof(seeds) - at, "%s%s:%d", i ? "," : "", rig_gateways[i].ip, base_port + PORT_CONTROL);
    }
    FILE* f = fopen(ini, "w");
    if (!f) {
        rig_fail("no settings file");
    }
    /* platform/settings.ini.tmpl, filled as the platform would for a small deployment */
    fprintf(f,
            "[host]\nname = %s\nhall = %s\ncluster = edge\n%s\n[listen]\ncallers = %s:%d\nready = %s:%d\nlookup = %s:%d\n"
            "metrics = %s:9109\npeer = %s:%d\nload = %s:%d\nshare = %s:%d\n\n[peers]\nseeds = %s\nseed_port = %d\n\n[source]\n"
            "address = %s:%d\napply = 2000ms\ndrain = 2000ms\n\n[limits]\nmemory = 260m\ndescriptors = 4100\nlink = 1000.0\n\n"
            "[service]\ngrace = 8s\nretry_window = 10s\nretry_ratio = 0.2\nretry_slack = 58\n",
            g->name, g->zone, g->has_started ? "" : "first_start = 1\n", g->ip, base_port + PORT_FRONT, g->ip,
            base_port + PORT_READY, g->ip, base_port + PORT_LOOKUP, g->ip, g->ip, base_port + PORT_PEER, g->ip,
            base_port + PORT_LOAD, g->ip, base_port + PORT_LOAD, seeds, base_port + PORT_PEER, store_ip,
            base_port + PORT_STORE);
    fclose(f);
    g->has_started = true;
    pid_t pid = fork();
    if (pid == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        if (getppid() != main_pid) {
            _exit(2);
        }
        int fd = open(log, O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(fd, 1);
        dup2(fd, 2);
        setenv("CHALKWAY_NODE_FILE", ini, 1);
        alarm(0);
        signal(SIGPIPE, SIG_DFL);
        signal(SIGTERM, SIG_DFL);
        signal(SIGINT, SIG_DFL);
        execl("target/chalkway-edge", "target/chalkway-edge", (char*)NULL);
        _exit(2);
    }
    g->pid = pid;
    rig_record("gateway %s starts", g->name);
}

static int connect_to(const char* ip, int port) {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int yes = 1;
    struct sockaddr_in at = {.sin_family = AF_INET, .sin_port = htons((uint16_t)port)};
    inet_pton(AF_INET, ip, &at.sin_addr);
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    int flags = fcntl(fd, F_GETFL);
    fcntl(fd, F_SETFL, flags | O_NONBLOCK);
    if (connect(fd, (struct sockaddr*)&at, sizeof(at)) != 0) {
        struct pollfd p = {.fd = fd, .events = POLLOUT};
        int failed = 0;
        socklen_t size = sizeof(failed);
        if (errno != EINPROGRESS || poll(&p, 1, 1000) <= 0 || getsockopt(fd, SOL_SOCKET, SO_ERROR, &failed, &size) != 0 ||
            failed) {
            close(fd);
            return -1;
        }
    }
    fcntl(fd, F_SETFL, flags);
    return fd;
}

bool rig_gateway_wait_ready(rig_gateway_t* g, int ms) {
    double until_ms = rig_now_ms() + ms;
    rig_conn_t* c = calloc(1, sizeof(*c));
    bool is_ready = false;
    while (!is_ready && rig_now_ms() < until_ms) {
        char line[256] = "";
        static const char ask[] = "GET /readiness HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n";
        c->fd = connect_to(g->ip, base_port + PORT_READY);
        c->begin = c->end = 0;
        if (c->fd >= 0) {
            is_ready = rig_write(c->fd, ask, sizeof(ask) - 1) && read_line(c, line, sizeof(line), rig_now_ms() + 1000) &&
                       strstr(line, " 200");
            close(c->fd);
        }
        if (!is_ready) {
            rig_sleep_ms(50);
        }
    }
    free(c);
    return is_ready;
}

void rig_gateways_start(void) {
    for (uint32_t i = 0; i < rig_gateway_count; i++) {
        rig_gateway_start(&rig_gateways[i]);
    }
    for (uint32_t i = 0; i < rig_gateway_count; i++) {
        if (!rig_gateway_wait_ready(&rig_gateways[i], 15000)) {
            rig_fail("a gateway is not ready");
        }
    }
    rig_record("all gateways are ready");
}

void rig_gateway_signal(rig_gateway_t* g, int number) {
    rig_record("gateway %s gets signal %d", g->name, number);
    if (g->pid > 0) {
        kill(g->pid, number);
    }
}

void rig_gateway_kill(rig_gateway_t* g) {
    if (g->pid > 0) {
        rig_gateway_signal(g, SIGKILL);
        waitpid(g->pid, NULL, 0);
        g->pid = 0;
    }
}

/* -- clients --------------------------------------------------------------- */

static void add_body(rig_call_t* call, const char* data, size_t size) {
    if (call->size + size + 1 > call->capacity) {
        call->capacity = (call->size + size + 1) * 2;
        call->body = realloc(call->body, call->capacity);
    }
    memcpy(call->body + call->size, data, size);
    call->size += size;
    call->body[call->size] = 0;
}

/* Notes the last whole event of the body so far. */
static void read_events(rig_call_t* call, size_t* at) {
    for (char* end; *at < call->size && (end = strstr(call->body + *at, "\n\n")); *at = (size_t)(end + 2 - call->body)) {
        const char* id = strstr(call->body + *at, "id: ");
        if (id && id < end) {
            call->last_event = atoi(id + 4);
            if (!call->first[0]) {
                snprintf(call->first, sizeof(call->first), "%s", call->id);
            }
        }
    }
}

static bool read_part(rig_conn_t* c, rig_call_t* call, size_t size, double deadline_ms, int gap_ms, size_t* events_at) {
    while (size) {
        double until_ms = gap_ms && rig_now_ms() + gap_ms < deadline_ms ? rig_now_ms() + gap_ms : deadline_ms;
        if (c->begin == c->end && !fill(c, until_ms)) {
            return false;
        }
        size_t n = c->end - c->begin < size ? c->end - c->begin : size;
        add_body(call, c->data + c->begin, n);
        c->begin += n;
        size -= n;
        if (events_at) {
            read_events(call, events_at);
        }
    }
    return true;
}

static const char* reason(void) {
    return errno == ETIMEDOUT ? "silent" : errno == 0 ? "closed" : "reset";
}

static void read_answer(rig_conn_t* c, const rig_ask_t* ask, rig_call_t* call, double deadline_ms) {
    char line[1024];
    size_t length = 0;
    size_t events_at = 0;
    bool is_chunked = false;
    double until_ms = ask->gap_ms && call->sent_ms + ask->gap_ms < deadline_ms ? call->sent_ms + ask->gap_ms : deadline_ms;
    if (!read_line(c, line, sizeof(line), until_ms)) {
        call->error = reason();
        return;
    }
    int status = 0;
    sscanf(line, "HTTP/1.1 %d", &status);
    while (read_line(c, line, sizeof(line), until_ms) && line[0]) {
        if (strncasecmp(line, "Content-Length:", 15) == 0) {
            length = strtoul(line + 15, NULL, 10);
        } else if (strncasecmp(line, "Transfer-Encoding: chunked", 26) == 0) {
            is_chunked = true;
        } else if (strncasecmp(line, "Retry-After:", 12) == 0) {
            call->retry_after_ms = (int)(atof(line + 12) * 1000);
        } else if (strncasecmp(line, "Connection: close", 17) == 0) {
            call->closes = true;
        }
    }
    call->status = status;
    if (!is_chunked) {
        call->is_complete = read_part(c, call, length, deadline_ms, ask->gap_ms, NULL);
        call->error = call->is_complete ? "" : reason();
        return;
    }
    for (;;) {
        until_ms = ask->gap_ms && rig_now_ms() + ask->gap_ms < deadline_ms ? rig_now_ms() + ask->gap_ms : deadline_ms;
        if (!read_line(c, line, sizeof(line), until_ms)) {
            break;
        }
        size_t size = strtoul(line, NULL, 16);
        if (!size) {
            read_line(c, line, sizeof(line), until_ms);
            call->is_complete = true;
            call->error = "";
            return;
        }
        if (!read_part(c, call, size, deadline_ms, ask->gap_ms, &events_at) ||
            !read_line(c, line, sizeof(line), until_ms)) {
            break;
        }
    }
    call->error = reason();
}

void rig_call(rig_gateway_t* g, const rig_ask_t* ask, rig_call_t* call) {
    rig_conn_t* c = calloc(1, sizeof(*c));
    char* head = NULL;
    size_t size = 0;
    snprintf(call->id, sizeof(call->id), "%08x%08x", rig_random(UINT32_MAX), rig_random(UINT32_MAX));
    call->status = 0;
    call->is_complete = call->closes = false;
    call->error = "";
    call->retry_after_ms = 0;
    call->size = 0;
    if (call->body) {
        call->body[0] = 0;
    }
    const char* method = ask->method ? ask->method : "POST";
    call->sent_ms = rig_now_ms();
    double deadline_ms = call->sent_ms + ask->deadline_ms;
    rig_record("send %s to %s %s %s%s", call->id, g->name, method, ask->path,
               ask->headers && strstr(ask->headers, "Resumes") ? " resuming a stream" : "");
    c->fd = ask->kept_fd ? *ask->kept_fd : -1;
    if (c->fd < 0) {
        c->fd = connect_to(g->ip, base_port + PORT_FRONT);
    }
    if (c->fd < 0) {
        call->error = "no connection";
    } else {
        add(&head, &size,
            "%s %s HTTP/1.1\r\nHost: h.example\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer key1\r\n%s",
            method, ask->path, call->id, ask->deadline_ms, ask->headers ? ask->headers : "");
        if (strcmp(method, "GET") != 0) {
            add(&head, &size, "Content-Length: %zu\r\n", ask->body_size);
        }
        add(&head, &size, "\r\n");
        head = realloc(head, size + ask->body_size + 1);
        memset(head + size, 'b', ask->body_size);
        rig_write(c->fd, head, size + ask->body_size); /* an answer may come before the whole body is taken */
        read_answer(c, ask, call, deadline_ms);
        free(head);
    }
    bool is_kept = ask->kept_fd && call->is_complete && !call->closes;
    if (ask->kept_fd) {
        *ask->kept_fd = is_kept ? c->fd : -1;
    }
    if (!is_kept && c->fd >= 0) {
        close(c->fd);
    }
    call->ended_ms = rig_now_ms();
    rig_record("answer %s from %s status %d %s %s after %.0f ms, last event %d", call->id, g->name, call->status,
               call->is_complete ? "whole" : "not whole", call->error, call->ended_ms - call->sent_ms, call->last_event);
    free(c);
}

void rig_call_free(rig_call_t* call) {
    free(call->body);
    memset(call, 0, sizeof(*call));
}
