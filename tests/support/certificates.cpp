#include "support/certificates.hpp"

#include <array>
#include <cstdio>
#include <memory>
#include <openssl/bio.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/rsa.h>
#include <openssl/ssl.h>
#include <openssl/x509.h>
#include <openssl/x509v3.h>

namespace dandelionstep::testing {
namespace {

using key_ptr = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using certificate_ptr = std::unique_ptr<X509, decltype(&X509_free)>;
using file_ptr = std::unique_ptr<FILE, decltype(&fclose)>;

struct identity {
    key_ptr key{nullptr, EVP_PKEY_free};
    certificate_ptr certificate{nullptr, X509_free};
};

void add_extension(X509* certificate, int kind, const char* value)
{
    X509_EXTENSION* extension = X509V3_EXT_conf_nid(nullptr, nullptr, kind, value);
    X509_add_ext(certificate, extension, -1);
    X509_EXTENSION_free(extension);
}

identity make_identity(const std::string& common_name, const identity* signer)
{
    constexpr unsigned key_bits = 2048;
    constexpr long lifetime_s = 24L * 3600;
    identity made;
    made.key.reset(EVP_RSA_gen(key_bits));
    made.certificate.reset(X509_new());
    X509* certificate = made.certificate.get();
    X509_set_version(certificate, 2);
    ASN1_INTEGER_set(X509_get_serialNumber(certificate), signer == nullptr ? 1 : 2);
    X509_gmtime_adj(X509_getm_notBefore(certificate), -lifetime_s);
    X509_gmtime_adj(X509_getm_notAfter(certificate), lifetime_s);
    X509_set_pubkey(certificate, made.key.get());
    X509_NAME* name = X509_get_subject_name(certificate);
    X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC,
                               reinterpret_cast<const unsigned char*>(common_name.c_str()), -1, -1, 0);
    X509_set_issuer_name(certificate,
                         signer == nullptr ? name : X509_get_subject_name(signer->certificate.get()));
    add_extension(certificate, NID_basic_constraints, signer == nullptr ? "critical,CA:TRUE" : "CA:FALSE");
    if (signer != nullptr) {
        add_extension(certificate, NID_subject_alt_name, "IP:127.0.0.1");
    }
    X509_sign(certificate, signer == nullptr ? made.key.get() : signer->key.get(), EVP_sha256());
    return made;
}

void write_certificate(const std::string& path, const identity& from)
{
    const file_ptr file(std::fopen(path.c_str(), "w"), fclose);
    PEM_write_X509(file.get(), from.certificate.get());
}

void write_files(const tls_files& files)
{
    const identity authority = make_identity("test authority " + files.authority, nullptr);
    const identity own = make_identity("test daemon", &authority);
    write_certificate(files.authority, authority);
    write_certificate(files.certificate, own);
    const file_ptr file(std::fopen(files.key.c_str(), "w"), fclose);
    PEM_write_PrivateKey(file.get(), own.key.get(), nullptr, nullptr, 0, nullptr, nullptr);
}

} // namespace

tls_files make_certificate(const scratch_folder& folder, const std::string& name)
{
    tls_files files{folder.path(name + "-certificate.pem"), folder.path(name + "-key.pem"),
                    folder.path(name + "-authority.pem")};
    write_files(files);
    return files;
}

std::string replace_certificate(const scratch_folder& folder, const tls_files& files)
{
    const tls_files next{files.certificate, files.key, folder.path("next-authority.pem")};
    write_files(next);
    return next.authority;
}

std::string get_over_tls(std::uint16_t port, const std::string& path, const std::string& authority)
{
    const std::unique_ptr<SSL_CTX, decltype(&SSL_CTX_free)> context(SSL_CTX_new(TLS_client_method()),
                                                                    SSL_CTX_free);
    SSL_CTX_load_verify_locations(context.get(), authority.c_str(), nullptr);
    SSL_CTX_set_verify(context.get(), SSL_VERIFY_PEER, nullptr);
    const std::unique_ptr<BIO, decltype(&BIO_free_all)> stream(BIO_new_ssl_connect(context.get()),
                                                               BIO_free_all);
    BIO_set_conn_hostname(stream.get(), ("127.0.0.1:" + std::to_string(port)).c_str());
    if (BIO_do_connect(stream.get()) != 1) {
        return "";
    }
    const std::string request = "GET " + path + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
    BIO_write(stream.get(), request.data(), static_cast<int>(request.size()));
    std::string answer;
    std::array<char, 4096> part{};
    int count = 0;
    while ((count = BIO_read(stream.get(), part.data(), part.size())) > 0) {
        answer.append(part.data(), static_cast<std::size_t>(count));
    }
    return answer;
}

} // namespace dandelionstep::testing
