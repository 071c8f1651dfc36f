/*
    Case 1: streams that began at one software version go on at another one, when all machines are stopped in turn while a
    release goes on. All of it is planned work.

    Three machines, one service of model servers, two of version v1 and two of v2 side by side. A release replaces the two
    of v1 (a share of 0.5), one at a time: a new one of v2 starts first, then the entry of the old one goes, and the old
    one serves on. Twenty-four streams of 13 s began before, some at v1 and some at v2. TROUBLE: the machines get SIGTERM in
    turn, gap_s 1, and are started again, as in roll_term. Clients whose stream breaks off take it up again with
    Last-Event-Id and Resumes. Broken: more than two streams hold events of both versions.
*/
#include "../rig/rig.h"

#define CLIENTS 24
#define EVENTS 130
#define EVENT_EVERY_MS 100
#define DEADLINE_MS 15000
#define TRIES_MAX 8
#define GRACE_MS 8000
#define GAP_MS 1000

typedef struct client_t {
    int number;
    int events_v1, events_v2, last_event;
    int tries, refusals;
    bool is_complete;
} client_t;

static client_t clients[CLIENTS];
static pthread_t client_threads[CLIENTS];

static const char config[] =
    "{\"version\":7,\"routes\":[{\"name\":\"refund-explain\",\"host\":\"ficu95.example\",\"path_prefix\":\"/lohu930/\","
    "\"service\":\"chalkway-llm\",\"kind\":\"streaming\",\"stream_resume\":true,\"sticky_sessions\":true,"
    "\"max_attempts\":2,\"timeout_ms\":15000,\"target_latency_ms\":2000,\"target_gap_ms\":500,\"priority\":0}],"
    "\"services\":[{\"name\":\"chalkway-llm\",\"max_connections\":310,\"health_path\":\"/health\",\"engine\":{\"slots\":48,"
    "\"kv_capacity\":532839,\"stride\":6,\"kv_token_bytes\":163840,\"link_mbps\":260000}}],"
    "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":10000,"
    "\"idle_timeout_ms\":60000},"
    "\"tenants\":[{\"name\":\"hule930\",\"api_keys\":[\"" RIG_KEY "\"]}]}";

typedef struct server_t {
    char id[16];
    char version[8];
    struct sockaddr_in address;
    rig_entry_t* entry;
} server_t;

static server_t servers[6];

/* Streams the events after Last-Event-Id. Like all servers it doesn't check which version began the stream. */
static bool serve_stream(int fd, const server_t* s, const char* id, const char* resumes, int after) {
    char out[400];
    rig_note("server %s (%s) runs %s%s%s after event %d", s->id, s->version, id, resumes[0] ? " resuming " : "", resumes, after);
    rig_sleep_ms(40);
    int n = snprintf(out, sizeof(out),
                     "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: 3e1b.07.5a2\r\n"
                     "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", id);
    if (!rig_send_all(fd, out, (size_t)n)) {
        return false;
    }
    for (int k = after + 1; k <= EVENTS; k++) {
        char event[120];
        int size = snprintf(event, sizeof(event), "id: %d\ndata: %s %s event %d of a refund explanation\n\n", k, s->version,
                            s->id, k);
        n = snprintf(out, sizeof(out), "%x\r\n%s\r\n", (unsigned)size, event);
        if (!rig_send_all(fd, out, (size_t)n)) {
            return false;
        }
        rig_sleep_ms(EVENT_EVERY_MS);
        char byte;
        ssize_t got = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        if (got == 0 || (got < 0 && errno != EAGAIN && errno != EINTR)) {
            return false; /* the connection has closed: the run ends */
        }
    }
    return rig_send_all(fd, "0\r\n\r\n", 5);
}

typedef struct conn_arg_t {
    int fd;
    const server_t* server;
} conn_arg_t;

static void* server_conn(void* arg) {
    conn_arg_t a = *(conn_arg_t*)arg;
    rig_conn_t* c = calloc(1, sizeof(*c));
    free(arg);
    c->fd = a.fd;
    for (size_t head; (head = rig_read_head(c)) > 0;) {
        char id[64], resumes[64], after[16], expected[64], length[16], out[400];
        bool is_health = strncmp(c->data, "GET /health ", 12) == 0;
        bool is_list = strncmp(c->data, "GET /kv-list", 12) == 0;
        rig_field(c->data, "Attempt-Id", id, sizeof(id));
        rig_field(c->data, "Resumes", resumes, sizeof(resumes));
        rig_field(c->data, "Last-Event-Id", after, sizeof(after));
        rig_field(c->data, "Expect-Instance", expected, sizeof(expected));
        size_t body = strtoul(rig_field(c->data, "Content-Length", length, sizeof(length)), NULL, 10);
        rig_consume(c, head);
        if (!rig_skip_body(c, body)) {
            break;
        }
        int n = 0;
        if (is_list) {
            char text[160];
            int size = snprintf(text, sizeof(text), "{\"epoch\":1,\"next_token\":0,\"held\":[],\"born\":%lld}",
                                (long long)a.server->entry->born);
            n = snprintf(out, sizeof(out), "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s",
                         size, text);
        } else if (is_health || !id[0]) {
            n = snprintf(out, sizeof(out), "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", a.server->id);
        } else if (expected[0] && strcmp(expected, a.server->id) != 0) {
            n = snprintf(out, sizeof(out), "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n",
                         a.server->id);
        }
        if (n ? !rig_send_all(c->fd, out, (size_t)n) : !serve_stream(c->fd, a.server, id, resumes, atoi(after))) {
            break;
        }
    }
    close(c->fd);
    free(c);
    return NULL;
}

static void* server_loop(void* arg) {
    server_t* s = arg;
    int fd = rig_listen(s->address);
    if (fd < 0) {
        rig_fail("a server's address is in use");
    }
    while (true) {
        conn_arg_t* a = malloc(sizeof(*a));
        a->server = s;
        a->fd = accept4(fd, NULL, NULL, SOCK_CLOEXEC);
        if (a->fd >= 0) {
            rig_thread(server_conn, a);
        }
    }
    return NULL;
}

static void start_server(int number, const char* version) {
    static const char* const zones[] = {"lozenets", "mladost"};
    server_t* s = &servers[number];
    snprintf(s->id, sizeof(s->id), "i-7f3a91c%d", number);
    snprintf(s->version, sizeof(s->version), "%s", version);
    s->address = rig_address(2, 10 + number, 9000 + number);
    rig_thread(server_loop, s);
    rig_sleep_ms(20);
    s->entry = rig_list_server(s->id, "chalkway-llm", zones[number % 2], version, 48, s->address);
    rig_note("server %s of %s is listed", s->id, version);
}

/* Reads events until the stream is complete (true) or breaks off. The chunks' sizes are skipped: no line of an event
   looks like one of them. */
static bool read_events(rig_conn_t* c, client_t* k) {
    while (true) {
        char* end = NULL;
        c->data[c->size] = 0;
        while ((end = strstr(c->data, "\n\n"))) {
            int id = 0;
            char version[8] = "";
            char* start = strstr(c->data, "id: ");
            if (start && start < end && sscanf(start, "id: %d\ndata: %7s", &id, version) == 2) {
                if (id != k->last_event + 1) {
                    rig_note("client %d: event %d after event %d", k->number, id, k->last_event);
                }
                k->events_v1 += strcmp(version, "v1") == 0;
                k->events_v2 += strcmp(version, "v2") == 0;
                k->last_event = id;
            }
            rig_consume(c, (size_t)(end - c->data) + 2);
            c->data[c->size] = 0;
        }
        if (strstr(c->data, "\r\n0\r\n\r\n") || strncmp(c->data, "0\r\n\r\n", 5) == 0) {
            return true;
        }
        ssize_t n = recv(c->fd, c->data + c->size, sizeof(c->data) - 1 - c->size, 0);
        if (n <= 0) {
            return false;
        }
        c->size += (size_t)n;
    }
}

/* One try. Returns how long to wait before the next one, in ms. */
static int64_t try_once(client_t* k, int host, int64_t deadline_ms) {
    char request[900], id[40], resumed[120] = "", text[24];
    rig_conn_t* c = calloc(1, sizeof(*c));
    int64_t left_ms = deadline_ms - rig_now_ms();
    snprintf(id, sizeof(id), "9c41d07b%02d%02d", k->number, k->tries);
    if (k->last_event) {
        snprintf(resumed, sizeof(resumed), "Last-Event-Id: %d\r\nResumes: 9c41d07b%02d01\r\n", k->last_event, k->number);
    }
    c->fd = rig_connect(rig_host_address(host, PORT_FRONT), 0);
    if (c->fd < 0) {
        free(c);
        return 200;
    }
    int n = snprintf(request, sizeof(request),
                     "POST /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: %s\r\nModel: m\r\n"
                     "Token-Counts: 628,540\r\nPrefix-Hash: 5c1e%04x:119,91bd%04x:79,e44%05x:430\r\nDeadline-Ms: %lld\r\n"
                     "Authorization: Bearer " RIG_KEY "\r\n%sContent-Length: 5\r\n\r\nhello",
                     id, (unsigned)k->number, (unsigned)k->number, (unsigned)k->number, (long long)left_ms, resumed);
    unsigned status = 0;
    int64_t wait_ms = 200;
    size_t head = rig_send_all(c->fd, request, (size_t)n) ? rig_read_head(c) : 0;
    if (head) {
        sscanf(c->data, "HTTP/1.1 %u", &status);
        double retry_s = atof(rig_field(c->data, "Retry-After", text, sizeof(text)));
        wait_ms = retry_s > 0 ? (int64_t)(retry_s * 1000) : 200;
        rig_consume(c, head);
    }
    int events = k->events_v1 + k->events_v2;
    if (status == 200) {
        k->is_complete = read_events(c, k);
    }
    k->refusals += status == 503;
    rig_note("client %d: %s at machine %d: status %u, %d events, %s", k->number, id, host, status,
             k->events_v1 + k->events_v2 - events, k->is_complete ? "complete" : "not complete");
    close(c->fd);
    free(c);
    left_ms = deadline_ms - rig_now_ms();
    return wait_ms < left_ms / 3 ? wait_ms : left_ms / 3;
}

static void* run_client(void* arg) {
    client_t* k = arg;
    int64_t deadline_ms = rig_now_ms() + DEADLINE_MS;
    for (int host = k->number % 3; !k->is_complete && k->tries < TRIES_MAX && rig_now_ms() < deadline_ms; host = (host + 1) % 3) {
        k->tries++;
        int64_t wait_ms = try_once(k, host, deadline_ms);
        if (!k->is_complete) {
            rig_sleep_ms(wait_ms);
        }
    }
    return NULL;
}

/* SIGTERM to each machine in turn, each GAP_MS; each is started again shortly after it has ended. SIGKILL after grace_s. */
static void roll_term(void) {
    int64_t term_ms[3] = {0}, again_ms[3] = {0};
    int done = 0, status = 0;
    int64_t begun_ms = rig_now_ms();
    while (done < 3) {
        for (int i = 0; i < 3; i++) {
            int64_t now_ms = rig_now_ms();
            if (!term_ms[i] && now_ms - begun_ms >= (int64_t)i * GAP_MS) {
                kill(rig_hosts[i].pid, SIGTERM);
                term_ms[i] = now_ms;
                rig_note("SIGTERM to machine %d", i);
            } else if (term_ms[i] && !again_ms[i] && rig_has_ended(i, &status)) {
                rig_hosts[i].pid = 0;
                again_ms[i] = now_ms + 300;
                rig_note("machine %d ended %lld ms after SIGTERM", i, (long long)(now_ms - term_ms[i]));
            } else if (term_ms[i] && !again_ms[i] && now_ms - term_ms[i] > GRACE_MS) {
                kill(rig_hosts[i].pid, SIGKILL);
                rig_note("SIGKILL to machine %d", i);
            } else if (again_ms[i] > 0 && now_ms >= again_ms[i]) {
                rig_start_host(i);
                again_ms[i] = -1;
                done++;
                rig_note("machine %d is started again", i);
            }
        }
        rig_sleep_ms(5);
    }
}

int main(void) {
    static const char* const zones[] = {"lozenets", "mladost", "lozenets"};
    rig_setup("review/1/record.txt");
    rig_start_store(config);
    for (int i = 0; i < 4; i++) {
        start_server(i, i < 2 ? "v1" : "v2");
    }
    rig_add_hosts(3, zones);
    rig_wait_ready();
    rig_sleep_ms(6000); /* contact_ms, and both versions have served for a while */
    rig_start_ms = rig_now_ms();
    rig_note("traffic starts; the release begins");
    for (int i = 0; i < CLIENTS; i++) {
        clients[i].number = i;
        if (pthread_create(&client_threads[i], NULL, run_client, &clients[i]) != 0) {
            rig_fail("no thread");
        }
        rig_sleep_ms(10);
    }
    /* One at a time, gap_s 0.7: the new one starts, the old one's entry goes and it serves on. */
    for (int i = 0; i < 2; i++) {
        rig_sleep_until(rig_start_ms + 800 + (int64_t)700 * i);
        start_server(4 + i, "v2");
        rig_sleep_ms(300);
        rig_unlist_server(servers[i].entry);
        rig_note("the entry of server %s of v1 is gone; it serves on", servers[i].id);
    }
    if (rig_has_trouble()) {
        roll_term();
    }
    for (int i = 0; i < CLIENTS; i++) {
        pthread_join(client_threads[i], NULL);
    }
    int mixed = 0, begun = 0, complete = 0;
    for (int i = 0; i < CLIENTS; i++) {
        const client_t* k = &clients[i];
        bool is_mixed = k->events_v1 && k->events_v2;
        rig_note("client %d: %d events of v1, %d of v2, %d tries, %d refused, %s%s", i, k->events_v1, k->events_v2, k->tries,
                 k->refusals, k->is_complete ? "complete" : "not complete", is_mixed ? ": ORDER" : "");
        mixed += is_mixed;
        begun += k->events_v1 > 0;
        complete += k->is_complete;
    }
    rig_note("streams begun at v1 %d, complete %d, with events of both versions %d of %d", begun, complete, mixed, CLIENTS);
    printf("case 1: begun at v1 %d, complete %d, with events of both versions %d: %s\n", begun, complete, mixed,
           mixed > 2 ? "rule broken" : begun > 2 ? "rule held" : "could not run");
    rig_finish(mixed > 2 ? 1 : begun > 2 ? 0 : 2);
}
