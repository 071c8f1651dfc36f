/* Writes the binary seeds of the fuzz targets, encoded by the library: fuzz-seeds DIR. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

#include "../../chalkway_load.h"
#include "../../chalkway_packed.h"
#include "../../chalkway_stream_message.h"
#include "../../chalkway_tunnel_frame.h"
#include "../../chalkway_wire.h"

static void write_seed(const char* dir, const char* target, const char* name, const void* data, size_t size) {
    char path[512];
    snprintf(path, sizeof(path), "%s/%s", dir, target);
    mkdir(path, 0755);
    snprintf(path, sizeof(path), "%s/%s/%s", dir, target, name);
    FILE* file = fopen(path, "wb");
    if (!file || fwrite(data, 1, size, file) != size || fclose(file) != 0) {
        perror(path);
        exit(1);
    }
}

static void write_datagrams(const char* dir) {
    static cw_load_message_t load;
    static uint8_t out[65536];
    cw_stream_message_t stream = {.cluster = 1, .host = 2, .kind = CW_STREAM_QUERY, .count = 1};
    load = (cw_load_message_t){.cluster = 1, .host = 2, .observation_count = 1, .count = 2};
    load.entries[0].server = 5;
    load.entries[1].server = 6;
    write_seed(dir, "load", "two-servers", out, cw_load_encode(&load, out, sizeof(out)));
    stream.entries[0] = (cw_stream_entry_t){.stream = 7, .pool = 8, .version = 9, .left_ms = 10};
    write_seed(dir, "stream_message", "query", out, cw_stream_message_encode(&stream, out, sizeof(out)));
}

static void write_peer_messages(const char* dir) {
    static cw_gossip_t gossip;
    cw_wire_t* wire = cw_wire_setup(NULL);
    static const cw_msg_type_t types[] = {CW_MSG_SLOT_REQUEST, CW_MSG_CANCEL,      CW_MSG_GRANT_RELEASE,
                                          CW_MSG_GRANT_DIGEST, CW_MSG_TUNNEL_OPEN, CW_MSG_TUNNEL_REPLY,
                                          CW_MSG_OBSERVATION};
    for (size_t i = 0; i < sizeof(types) / sizeof(types[0]); i++) {
        char name[16];
        cw_msg_t msg = {.type = types[i]};
        cw_bytes_t frame = cw_wire_encode_frame(wire, &msg);
        snprintf(name, sizeof(name), "type-%u", (unsigned)types[i]);
        write_seed(dir, "frame", name, frame.data + CW_FRAME_HEADER, frame.size - CW_FRAME_HEADER);
    }
    gossip = (cw_gossip_t){.kind = CW_GOSSIP_PING, .seq = 1, .join = true, .from = {.id = 3}, .update_count = 1};
    cw_bytes_t datagram = cw_wire_encode_datagram(wire, "c", &gossip);
    write_seed(dir, "gossip", "ping", datagram.data, datagram.size);
    cw_wire_shutdown(wire);
}

static void write_list(const char* dir) {
    size_t size = 0;
    cw_servers_t list = {.at = 7};
    cw_changes_t changes = {0};
    cw_servers_add(
        &list,
        &(cw_server_t){.id = "s0", .address = "127.0.0.1:80", .pool = "p", .hall = "a", .version = "v1", .slots = 4});
    char* bytes = cw_packed_encode(&list, &changes, &size);
    write_seed(dir, "packed", "one-server", bytes, size);
    free(bytes);
    cw_servers_free(&list);
}

static void write_tunnel(const char* dir) {
    uint8_t frames[2 * CW_TUNNEL_FRAME_HEADER + 5];
    cw_tunnel_frame_begin(frames, 5);
    memset(frames + CW_TUNNEL_FRAME_HEADER, 'b', 5);
    cw_tunnel_frame_end(frames + CW_TUNNEL_FRAME_HEADER + 5, CW_TUNNEL_END_CLOSED);
    write_seed(dir, "tunnel", "frame-and-end", frames, sizeof(frames));
}

int main(int argc, char** argv) {
    if (argc != 2) {
        fprintf(stderr, "usage: fuzz-seeds DIR\n");
        return 64;
    }
    write_datagrams(argv[1]);
    write_peer_messages(argv[1]);
    write_list(argv[1]);
    write_tunnel(argv[1]);
    return 0;
}
