#include "site.h"
#include "../io/response_head.h"

#include <curl/curl.h>
#include <errno.h>
#include <fcntl.h>
#include <jansson.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#define READY_TIMEOUT_MS 10000
#define STOP_TIMEOUT_MS 60000
#define MAX_ARGS 32

void site_sleep_ms(int ms) {
    const struct timespec ts = {.tv_sec = ms / 1000, .tv_nsec = (long)(ms % 1000) * 1000000L};
    nanosleep(&ts, NULL);
}

int64_t site_now_ms(void) {
    struct timespec ts;
    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

void site_setup(site_t* s, const char* build) {
    memset(s, 0, sizeof(*s));
    cw_copy(s->build, sizeof(s->build), build);
    cw_copy(s->dir, sizeof(s->dir), "/tmp/chalkway-site-XXXXXX");
    if (sodium_init() < 0 || !mkdtemp(s->dir)) {
        abort();
    }
    curl_global_init(CURL_GLOBAL_DEFAULT);
}

/* -- processes ------------------------------------------------------------ */

site_proc_t* site_find_process(site_t* s, const char* name) {
    for (int i = 0; i < s->count; i++) {
        if (strcmp(s->procs[i].name, name) == 0) {
            return &s->procs[i];
        }
    }
    return NULL;
}

static const char* program_name(site_kind_t kind) {
    static const char* const names[] = {"fake-platform", "fake-engine", "fake-service", "chalkwayd"};
    return names[kind];
}

static pid_t spawn_process(const site_t* s, const site_proc_t* p, const char* const* args, int out) {
    char program[192];
    char log[192];
    snprintf(program, sizeof(program), "%s/%s", s->build, program_name(p->kind));
    snprintf(log, sizeof(log), "%s/%s.log", s->dir, p->name);
    pid_t pid = fork();
    if (pid != 0) {
        return pid;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL); /* no orphans: the kernel kills the child when the parent dies */
    int fd = open(log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    dup2(out, STDOUT_FILENO);
    dup2(fd, STDERR_FILENO);
    char* argv[MAX_ARGS + 2] = {program};
    for (int i = 0; args[i] && i < MAX_ARGS; i++) {
        argv[i + 1] = (char*)args[i];
    }
    execv(program, argv);
    _exit(127);
}

/* Copies the value after key= in a ready line; empty if the key is missing. */
static void read_value(const char* line, const char* key, char* out, size_t size) {
    const char* at = strstr(line, key);
    out[0] = 0;
    if (at) {
        at += strlen(key);
        size_t len = strcspn(at, " \n");
        cw_copy(out, len + 1 < size ? len + 1 : size, at);
    }
}

static bool start_and_wait_ready(const site_t* s, site_proc_t* p, const char* const* args) {
    int fds[2];
    if (pipe2(fds, O_CLOEXEC) != 0) {
        return false;
    }
    p->pid = spawn_process(s, p, args, fds[1]);
    close(fds[1]);
    char line[256] = "";
    FILE* in = fdopen(fds[0], "r");
    bool is_ready = in && fgets(line, sizeof(line), in) && strncmp(line, "ready ", 6) == 0;
    if (in) {
        fclose(in);
    }
    if (!is_ready) {
        fprintf(stderr, "%s exited or printed no ready line; see %s/%s.log\n", p->name, s->dir, p->name);
        return false;
    }
    read_value(line, "http=", p->http, sizeof(p->http));
    read_value(line, "peer=", p->peer, sizeof(p->peer));
    read_value(line, "operator=", p->operator_http, sizeof(p->operator_http));
    return true;
}

static site_proc_t* add_process(site_t* s, site_kind_t kind, const char* name, const char* hall) {
    if (s->count == SITE_MAX_PROCS) {
        return NULL;
    }
    site_proc_t* p = &s->procs[s->count++];
    *p = (site_proc_t){.kind = kind};
    cw_copy(p->name, sizeof(p->name), name);
    cw_copy(p->hall, sizeof(p->hall), hall);
    return p;
}

site_proc_t* site_start(site_t* s, site_kind_t kind, const char* name, const char* hall, const char* const* args) {
    site_proc_t* p = add_process(s, kind, name, hall);
    return (p && start_and_wait_ready(s, p, args)) ? p : NULL;
}

static void write_settings(const site_t* s, const site_proc_t* p, const char* http, const char* peer,
                           const char* operator_http) {
    FILE* f = fopen(p->config, "w");
    if (!f) {
        return;
    }
    fprintf(f, "[host]\nname = %s\nhall = %s\ncluster = site\nhttp = %s\npeer = %s\noperator = %s\nseeds = ", p->name,
            p->hall, http, peer, operator_http);
    int seeds = 0;
    for (int i = 0; i < s->count && seeds < 4; i++) {
        const site_proc_t* other = &s->procs[i];
        if (other->kind == SITE_DAEMON && other != p && other->pid) {
            fprintf(f, "%s%s", seeds++ ? ", " : "", other->peer);
        }
    }
    const char* platform = "";
    for (int i = 0; i < s->count; i++) {
        platform = s->procs[i].kind == SITE_PLATFORM ? s->procs[i].http : platform;
    }
    fprintf(f, "\n[platform]\nurl = http://%s\nrate = 10\n[log]\nlevel = %s\n%s", platform,
            s->log_level ? s->log_level : "warn", s->extra_daemon_settings ? s->extra_daemon_settings : "");
    fclose(f);
}

site_proc_t* site_start_daemon(site_t* s, const char* name, const char* hall) {
    site_proc_t* p = add_process(s, SITE_DAEMON, name, hall);
    if (!p) {
        return NULL;
    }
    snprintf(p->config, sizeof(p->config), "%s/%s.ini", s->dir, name);
    write_settings(s, p, "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0");
    const char* const args[] = {"-c", p->config, NULL};
    return start_and_wait_ready(s, p, args) ? p : NULL;
}

bool site_restart_daemon(site_t* s, site_proc_t* p) {
    write_settings(s, p, p->http, p->peer, p->operator_http);
    const char* const args[] = {"-c", p->config, NULL};
    return start_and_wait_ready(s, p, args);
}

void site_send_stop(const site_proc_t* p) {
    if (p->pid) {
        kill(p->pid, SIGCONT);
        kill(p->pid, SIGTERM);
    }
}

int site_wait_stopped(site_proc_t* p) {
    int status = 0;
    int64_t deadline_ms = site_now_ms() + STOP_TIMEOUT_MS;
    while (p->pid && waitpid(p->pid, &status, WNOHANG) == 0) {
        if (site_now_ms() > deadline_ms) {
            kill(p->pid, SIGKILL);
            waitpid(p->pid, &status, 0);
            break;
        }
        site_sleep_ms(5);
    }
    p->pid = 0;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

int site_stop(site_proc_t* p) {
    site_send_stop(p);
    return site_wait_stopped(p);
}

void site_kill(site_proc_t* p) {
    if (p->pid) {
        kill(p->pid, SIGKILL);
        waitpid(p->pid, NULL, 0);
        p->pid = 0;
    }
}

int site_shutdown(site_t* s) {
    int failed = 0;
    for (int i = 0; i < s->count; i++) {
        if (s->procs[i].kind == SITE_DAEMON) {
            site_send_stop(&s->procs[i]);
        }
    }
    for (int i = 0; i < s->count; i++) {
        site_proc_t* p = &s->procs[i];
        if (p->kind == SITE_DAEMON && p->pid) {
            failed += site_wait_stopped(p) != 0;
        }
    }
    for (int i = 0; i < s->count; i++) {
        if (s->procs[i].pid) {
            site_stop(&s->procs[i]);
        }
    }
    return failed;
}

/* -- requests ------------------------------------------------------------- */

static size_t on_body(char* data, size_t size, size_t count, void* user) {
    site_response_t* response = user;
    size_t used = strlen(response->body);
    size_t n = size * count;
    size_t available = sizeof(response->body) - 1 - used;
    memcpy(response->body + used, data, n < available ? n : available);
    response->body[used + (n < available ? n : available)] = 0;
    return n;
}

/* Copies a field of the head, "" when it is absent. */
static void copy_field(char* out, size_t size, const cw_response_head_t* head, const char* name) {
    const char* value = cw_message_field(&head->message, name);
    cw_copy(out, size, value ? value : "");
}

static struct curl_slist* add_header(struct curl_slist* list, const char* name, const char* value) {
    char line[512];
    snprintf(line, sizeof(line), "%s: %s", name, value);
    return curl_slist_append(list, line);
}

site_response_t site_call(const site_request_t* r) {
    site_response_t response = {0};
    cw_response_head_t head;
    char url[512];
    char bearer[256];
    cw_response_head_setup(&head);
    snprintf(url, sizeof(url), "http://%s%s", r->address, r->path);
    struct curl_slist* headers = add_header(NULL, "Content-Type", "application/json");
    if (r->token) {
        snprintf(bearer, sizeof(bearer), "Bearer %s", r->token);
        headers = add_header(headers, "Authorization", bearer);
    }
    headers = r->class_name ? add_header(headers, "Chalkway-Class", r->class_name) : headers;
    headers = r->key ? add_header(headers, "Idempotency-Key", r->key) : headers;
    CURL* e = curl_easy_init();
    curl_easy_setopt(e, CURLOPT_URL, url);
    curl_easy_setopt(e, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(e, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, r->timeout_ms ? r->timeout_ms : 20000L);
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, &response);
    curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, cw_response_head_on_line);
    curl_easy_setopt(e, CURLOPT_HEADERDATA, &head);
    if (r->body) {
        curl_easy_setopt(e, CURLOPT_POSTFIELDS, r->body);
    }
    if (r->method) {
        curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, r->method);
    }
    response.is_complete = curl_easy_perform(e) == CURLE_OK && head.is_complete;
    if (head.is_complete) {
        response.status = head.message.status;
        copy_field(response.outcome, sizeof(response.outcome), &head, "Chalkway-Outcome");
        copy_field(response.retry_after, sizeof(response.retry_after), &head, "Retry-After");
    }
    long sent_bytes = 0;
    curl_easy_getinfo(e, CURLINFO_REQUEST_SIZE, &sent_bytes);
    response.bytes = sent_bytes + (long)(head.bytes + strlen(response.body));
    cw_response_head_shutdown(&head);
    curl_easy_cleanup(e);
    curl_slist_free_all(headers);
    return response;
}

bool site_publish(site_t* s, const char* items) {
    for (int i = 0; i < s->count; i++) {
        if (s->procs[i].kind == SITE_PLATFORM) {
            site_response_t a = site_call(
                &(site_request_t){.address = s->procs[i].http, .path = "/admin/put", .body = items, .method = "POST"});
            return a.status == 200;
        }
    }
    return false;
}

bool site_publish_hosts(site_t* s, const char* leaving) {
    const char* platform = NULL;
    json_t* list = json_array();
    for (int i = 0; i < s->count; i++) {
        const site_proc_t* p = &s->procs[i];
        if (p->kind == SITE_PLATFORM) {
            platform = p->http;
        } else if (p->pid) {
            bool is_leaving = leaving && strcmp(leaving, p->name) == 0;
            json_array_append_new(list, json_pack("{s:s,s:s,s:s}", "name", p->name, "role",
                                                  p->kind == SITE_DAEMON ? "router" : "upstream", "state",
                                                  is_leaving ? "leaving" : "live"));
        }
    }
    json_t* root = json_pack("{s:o}", "hosts", list);
    char* text = json_dumps(root, JSON_COMPACT);
    bool ok = platform &&
              site_call(&(site_request_t){.address = platform, .path = "/admin/hosts", .body = text, .method = "POST"})
                      .status == 200;
    free(text);
    json_decref(root);
    return ok;
}

double site_get_number(const char* address, const char* path, const char* key) {
    site_response_t a = site_call(&(site_request_t){.address = address, .path = path, .timeout_ms = 2000});
    json_t* root = json_loads(a.body, 0, NULL);
    json_t* value = json_object_get(root, key);
    double number = json_is_number(value) ? json_number_value(value) : -1;
    json_decref(root);
    return number;
}

static int count_live_members(const char* address) {
    site_response_t a = site_call(&(site_request_t){.address = address, .path = "/v1/status", .timeout_ms = 2000});
    json_t* root = json_loads(a.body, 0, NULL);
    int live = 0;
    size_t i = 0;
    json_t* m = NULL;
    json_array_foreach(json_object_get(root, "members"), i, m) {
        const char* state = json_string_value(json_object_get(m, "state"));
        live += state && strcmp(state, "alive") == 0;
    }
    json_decref(root);
    return live;
}

static bool are_all_ready(const site_t* s) {
    int daemons = 0;
    for (int i = 0; i < s->count; i++) {
        daemons += s->procs[i].kind == SITE_DAEMON && s->procs[i].pid;
    }
    for (int i = 0; i < s->count; i++) {
        const site_proc_t* p = &s->procs[i];
        if (p->kind != SITE_DAEMON || !p->pid) {
            continue;
        }
        site_response_t a =
            site_call(&(site_request_t){.address = p->operator_http, .path = "/readyz", .timeout_ms = 2000});
        if (a.status != 200 || count_live_members(p->operator_http) < daemons) {
            return false;
        }
    }
    return true;
}

bool site_wait_ready(site_t* s, int timeout_ms) {
    int64_t deadline_ms = site_now_ms() + timeout_ms;
    while (!are_all_ready(s)) {
        if (site_now_ms() > deadline_ms) {
            return false;
        }
        site_sleep_ms(50);
    }
    return true;
}

bool site_wait_revision(site_t* s, long long revision, int timeout_ms) {
    int64_t deadline_ms = site_now_ms() + timeout_ms;
    for (int i = 0; i < s->count; i++) {
        const site_proc_t* p = &s->procs[i];
        while (p->kind == SITE_DAEMON && p->pid &&
               site_get_number(p->operator_http, "/v1/status", "revision") < (double)revision) {
            if (site_now_ms() > deadline_ms) {
                return false;
            }
            site_sleep_ms(20);
        }
    }
    return true;
}

void site_digest(const char* token, char out[65]) {
    uint8_t digest[32];
    crypto_generichash(digest, sizeof(digest), (const uint8_t*)token, strlen(token), NULL, 0);
    sodium_bin2hex(out, 65, digest, sizeof(digest));
}
